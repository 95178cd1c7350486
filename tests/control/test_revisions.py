"""The chain of versions: patches, what changed since, rollback, what a service's node is told."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.control.versions import (
    Change,
    ConflictError,
    Document,
    Epoch,
    Position,
    UnknownVersionError,
    Versions,
    difference,
    merged,
    projection,
    too_deep,
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
    assert same(merged(old, difference(old, new)), new)
    assert repr(old) == before, "what is merged into is not changed"
    assert difference(new, new) == {}


@given(DOCUMENTS, PATCHES)
def test_a_patch_leaves_no_null_behind_and_merges_the_same_twice(document: Document, patch: Document):
    once = merged(document, patch)
    assert "None" not in repr(once)
    assert same(merged(once, patch), once)


@given(DOCUMENTS, st.dictionaries(st.sampled_from("xyz"), DOCUMENTS, max_size=3))
def test_a_change_for_another_service_changes_nothing_for_this_one(common: Document, own: Document):
    document = common | {"services": own}
    for service in "xyz":
        mine = projection(document, service)
        assert "services" not in mine
        others = merged(document, {"services": {other: {"a": 7} for other in "xyz" if other != service}})
        assert difference(mine, projection(others, service)) == {}
        assert same(mine, merged(common, own.get(service, {})))


def chain(patches: list[Document]) -> Versions:
    versions = Versions()
    for patch in patches:
        versions.add(versions.drafted(Epoch(1, "c1"), patch, versions.top.version))
    return versions


@given(st.lists(PATCHES, max_size=8), st.data())
def test_what_changed_since_leads_to_the_top_also_after_forgetting(
    patches: list[Document], data: st.DataObject
):
    versions = chain(patches)
    documents = {versions.position(at): versions.at(versions.position(at)) for at in range(len(patches) + 1)}
    versions.trim(data.draw(st.integers(0, 8)))
    for position, document in documents.items():
        changes = versions.since(position)
        if position.version < versions.base.position.version:
            assert changes is None
            with pytest.raises(UnknownVersionError, match="are"):
                versions.back_to(position.version)
            continue
        assert document is not None
        assert changes is not None
        for change in changes:
            document = merged(document, change.patch)
        assert same(document, versions.document)
        assert same(merged(versions.document, versions.back_to(position.version)), documents[position])


def test_positions_of_another_branch_are_not_known():
    versions = chain([{"a": 1}, {"a": 2}])
    assert versions.since(Position(1, "c1", 2)) == []
    for other in (Position(1, "c2", 2), Position(2, "c1", 2), Position(1, "c1", 3)):
        assert versions.at(other) is None
        assert versions.since(other) is None


def test_a_change_for_another_version_is_a_conflict_and_a_gap_is_refused():
    versions = chain([{"a": 1}])
    with pytest.raises(ConflictError, match="version is 1, not 0"):
        versions.drafted(Epoch(1, "c1"), {}, 0)
    for position in (Position(1, "c1", 3), Position(1, "c1", 1), Position(0, "", 2)):
        with pytest.raises(ValueError, match="does not follow"):
            versions.add(Change(position, {}))
    assert versions.top == Position(1, "c1", 1)


def test_depth_is_bounded():
    deep: Document = {}
    for _ in range(20):
        deep = {"a": deep}
    assert too_deep(deep)
    assert not too_deep({"services": {"x": {"class": [{"name": "a"}]}}})
