"""Documents and revision history: patches, documents of services, changes after a revision, rollback."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.control.documents import (
    Document,
    apply_patch,
    document_for_service,
    make_patch,
    nesting_exceeds,
)
from rosewheel.control.errors import OutOfSequenceError, RevisionConflictError, UnknownRevisionError
from rosewheel.control.history import RevisionHistory
from rosewheel.control.messages import PutRequest
from rosewheel.control.revisions import Change, Epoch, Revision

KEYS = st.sampled_from(["limits", "routing", "class", "a", "b"])
SCALARS = st.one_of(st.booleans(), st.integers(-2, 2), st.sampled_from([0.0, 1.0, "x", ""]))
VALUES = st.recursive(
    st.one_of(SCALARS, st.lists(SCALARS, max_size=2)), lambda inner: st.dictionaries(KEYS, inner, max_size=3)
)
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=4)
PATCHES = st.dictionaries(
    KEYS,
    st.recursive(st.one_of(st.none(), SCALARS), lambda inner: st.dictionaries(KEYS, inner, max_size=3)),
    max_size=4,
)


def identical(one: object, other: object) -> bool:
    """Return whether two values are equal in value and type; Python's `==` does not tell 1, 1.0 and True apart."""
    return repr(one) == repr(other) or (
        isinstance(one, dict)
        and isinstance(other, dict)
        and one.keys() == other.keys()
        and all(identical(one[key], other[key]) for key in one)
    )


@given(DOCUMENTS, DOCUMENTS)
def test_a_patch_turns_one_document_into_the_other(old: Document, new: Document):
    before = repr(old)
    assert identical(apply_patch(old, make_patch(old, new)), new)
    assert repr(old) == before, "the original document must not change"
    assert make_patch(new, new) == {}


@given(DOCUMENTS, PATCHES)
def test_applying_a_patch_leaves_no_null_and_is_idempotent(document: Document, patch: Document):
    once = apply_patch(document, patch)
    assert "None" not in repr(once)
    assert identical(apply_patch(once, patch), once)


@given(DOCUMENTS, st.dictionaries(st.sampled_from("xyz"), DOCUMENTS, max_size=3))
def test_a_change_of_another_service_changes_nothing_for_this_one(common: Document, services: Document):
    document = common | {"services": services}
    for service in "xyz":
        own = document_for_service(document, service)
        assert "services" not in own
        patch: Document = {"services": {other: {"a": 7} for other in "xyz" if other != service}}
        others = apply_patch(document, patch)
        assert make_patch(own, document_for_service(others, service)) == {}
        assert identical(own, apply_patch(common, services.get(service, {})))


def history_of(patches: list[Document]) -> RevisionHistory:
    history = RevisionHistory()
    for patch in patches:
        history.append(history.draft(Epoch(1, "c1"), PutRequest(patch, history.last.number)))
    return history


@given(st.lists(PATCHES, max_size=8), st.data())
def test_changes_after_a_revision_give_the_last_document_also_after_trimming(
    patches: list[Document], data: st.DataObject
):
    history = history_of(patches)
    revisions = [history.revision_numbered(number) for number in range(len(patches) + 1)]
    documents = {revision: history.document_at(revision) for revision in revisions}
    history.trim(data.draw(st.integers(0, 8)))
    for revision, document in documents.items():
        changes = history.changes_after(revision)
        if revision.number < history.snapshot.revision.number:
            assert changes is None
            with pytest.raises(UnknownRevisionError, match="is not retained; retained versions are"):
                history.rollback_patch(revision.number)
            continue
        assert document is not None
        assert changes is not None
        for change in changes:
            document = apply_patch(document, change.patch)
        assert identical(document, history.last_document)
        rolled_back = apply_patch(history.last_document, history.rollback_patch(revision.number))
        assert identical(rolled_back, documents[revision])


def test_revisions_of_another_branch_are_unknown():
    history = history_of([{"a": 1}, {"a": 2}])
    assert history.changes_after(Revision(1, "c1", 2)) == []
    for other in (Revision(1, "c2", 2), Revision(2, "c1", 2), Revision(1, "c1", 3)):
        assert history.document_at(other) is None
        assert history.changes_after(other) is None


def test_a_change_for_another_revision_conflicts_and_a_gap_is_refused():
    history = history_of([{"a": 1}])
    with pytest.raises(RevisionConflictError, match="the current version is 1, not 0"):
        history.draft(Epoch(1, "c1"), PutRequest({}, expected=0))
    for revision in (Revision(1, "c1", 3), Revision(1, "c1", 1), Revision(0, "", 2)):
        with pytest.raises(OutOfSequenceError, match="does not follow"):
            history.append(Change(revision, {}))
    assert history.last == Revision(1, "c1", 1)


def test_the_depth_of_a_patch_is_bounded():
    deep: Document = {}
    for _ in range(20):
        deep = {"a": deep}
    assert nesting_exceeds(deep)
    assert not nesting_exceeds({"services": {"x": {"class": [{"name": "a"}]}}})
