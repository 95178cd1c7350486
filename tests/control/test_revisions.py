"""The chain of versions: patches, what changed since, rollback, what a service's node is told."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.control.revisions import (
    Change,
    Document,
    Epoch,
    Revision,
    RevisionConflictError,
    RevisionHistory,
    UnknownRevisionError,
    apply_patch,
    document_for_service,
    make_patch,
    nesting_exceeds,
)

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


def same(one: object, other: object) -> bool:
    """Also in kind: 1, 1.0 and True are equal to Python."""
    return repr(one) == repr(other) or (
        isinstance(one, dict)
        and isinstance(other, dict)
        and one.keys() == other.keys()
        and all(same(one[key], other[key]) for key in one)
    )


@given(DOCUMENTS, DOCUMENTS)
def test_the_difference_leads_from_one_document_to_the_other(old: Document, new: Document):
    before = repr(old)
    assert same(apply_patch(old, make_patch(old, new)), new)
    assert repr(old) == before, "what is merged into is not changed"
    assert make_patch(new, new) == {}


@given(DOCUMENTS, PATCHES)
def test_a_patch_leaves_no_null_behind_and_merges_the_same_twice(document: Document, patch: Document):
    once = apply_patch(document, patch)
    assert "None" not in repr(once)
    assert same(apply_patch(once, patch), once)


@given(DOCUMENTS, st.dictionaries(st.sampled_from("xyz"), DOCUMENTS, max_size=3))
def test_a_change_for_another_service_changes_nothing_for_this_one(common: Document, own: Document):
    document = common | {"services": own}
    for service in "xyz":
        mine = document_for_service(document, service)
        assert "services" not in mine
        others = apply_patch(document, {"services": {other: {"a": 7} for other in "xyz" if other != service}})
        assert make_patch(mine, document_for_service(others, service)) == {}
        assert same(mine, apply_patch(common, own.get(service, {})))


def chain(patches: list[Document]) -> RevisionHistory:
    versions = RevisionHistory()
    for patch in patches:
        versions.append(versions.draft(Epoch(1, "c1"), patch, versions.last.number))
    return versions


@given(st.lists(PATCHES, max_size=8), st.data())
def test_what_changed_since_leads_to_the_top_also_after_forgetting(
    patches: list[Document], data: st.DataObject
):
    versions = chain(patches)
    documents = {
        versions.revision_numbered(at): versions.document_at(versions.revision_numbered(at))
        for at in range(len(patches) + 1)
    }
    versions.trim(data.draw(st.integers(0, 8)))
    for position, document in documents.items():
        changes = versions.changes_after(position)
        if position.number < versions.snapshot.revision.number:
            assert changes is None
            with pytest.raises(UnknownRevisionError, match="are"):
                versions.rollback_patch(position.number)
            continue
        assert document is not None
        assert changes is not None
        for change in changes:
            document = apply_patch(document, change.patch)
        assert same(document, versions.document)
        assert same(
            apply_patch(versions.document, versions.rollback_patch(position.number)), documents[position]
        )


def test_positions_of_another_branch_are_not_known():
    versions = chain([{"a": 1}, {"a": 2}])
    assert versions.changes_after(Revision(1, "c1", 2)) == []
    for other in (Revision(1, "c2", 2), Revision(2, "c1", 2), Revision(1, "c1", 3)):
        assert versions.document_at(other) is None
        assert versions.changes_after(other) is None


def test_a_change_for_another_version_is_a_conflict_and_a_gap_is_refused():
    versions = chain([{"a": 1}])
    with pytest.raises(RevisionConflictError, match="version is 1, not 0"):
        versions.draft(Epoch(1, "c1"), {}, 0)
    for position in (Revision(1, "c1", 3), Revision(1, "c1", 1), Revision(0, "", 2)):
        with pytest.raises(ValueError, match="does not follow"):
            versions.append(Change(position, {}))
    assert versions.last == Revision(1, "c1", 1)


def test_depth_is_bounded():
    deep: Document = {}
    for _ in range(20):
        deep = {"a": deep}
    assert nesting_exceeds(deep)
    assert not nesting_exceeds({"services": {"x": {"class": [{"name": "a"}]}}})
