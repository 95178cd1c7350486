"""A node's subscription: updates that are applied, saved, rejected by the node, or refused as stale."""

from __future__ import annotations

import pytest

from rosewheel.control.documents import Document
from rosewheel.control.errors import StaleUpdateError
from rosewheel.control.messages import ConfigurationUpdate
from rosewheel.control.revisions import Revision
from rosewheel.control.subscription import Subscription, UpdateEffect


def update(
    number: int, content: Document, epoch_number: int = 1, is_snapshot: bool = False
) -> ConfigurationUpdate:
    return ConfigurationUpdate(Revision(epoch_number, "c1", number), is_snapshot, content)


def subscription_at(number: int, document: Document) -> Subscription:
    subscription = Subscription()
    assert subscription.receive(update(number, document, is_snapshot=True)) is UpdateEffect.APPLY
    subscription.mark_applied()
    return subscription


def test_a_patch_is_applied_over_the_received_document():
    subscription = subscription_at(1, {"a": 1, "b": 2})
    assert subscription.receive(update(2, {"a": None})) is UpdateEffect.APPLY
    assert subscription.received_document == {"b": 2}
    assert subscription.applied.number == 1
    subscription.mark_applied()
    assert (subscription.applied.number, subscription.applied_document) == (2, {"b": 2})


def test_a_change_of_another_service_updates_only_the_revision():
    subscription = subscription_at(1, {"a": 1})
    assert subscription.receive(update(2, {})) is UpdateEffect.NONE
    assert subscription.applied.number == 2
    assert subscription.receive(update(3, {}, epoch_number=2)) is UpdateEffect.SAVE


def test_the_first_update_is_applied_even_if_it_is_empty():
    assert Subscription().receive(update(1, {})) is UpdateEffect.APPLY


def test_a_rejected_document_stays_rejected_until_one_can_be_applied():
    subscription = subscription_at(1, {"a": 1})
    assert subscription.receive(update(2, {"a": 2})) is UpdateEffect.APPLY
    subscription.mark_rejected("a: too large")
    assert not subscription.received_is_applied
    assert subscription.receive(update(3, {})) is UpdateEffect.NONE
    assert (subscription.applied.number, subscription.applied_document) == (1, {"a": 1})
    assert subscription.rejected == Revision(1, "c1", 2)
    assert subscription.receive(update(4, {"b": 1})) is UpdateEffect.APPLY
    assert subscription.received_document == {"a": 2, "b": 1}
    subscription.mark_applied()
    assert (subscription.rejected, subscription.reason) == (None, "")


def test_an_earlier_revision_is_refused_and_the_same_one_is_not():
    subscription = subscription_at(5, {})
    subscription.check(update(5, {}))
    subscription.check(update(1, {}, epoch_number=2))
    with pytest.raises(StaleUpdateError, match="version 4 of epoch 1"):
        subscription.check(update(4, {}))
