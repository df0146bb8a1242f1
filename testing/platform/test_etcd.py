import threading
from collections.abc import Iterator

import pytest
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.standins.store import StoreStandIn
from paddleshunt_platform.store import (
    ABSENT,
    Listing,
    Unanswered,
    Unreachable,
    Value,
    VersionConflict,
    Written,
)


@pytest.fixture
def service() -> Iterator[StoreStandIn]:
    with StoreStandIn() as service:
        yield service


@pytest.fixture
def store(service: StoreStandIn) -> EtcdStore:
    return EtcdStore(service.url)


def test_compare_and_swap(store: EtcdStore) -> None:
    assert store.get("p/a") is None
    assert store.compare_and_swap("p/a", b"one", ABSENT) == Written()
    found = store.get("p/a")
    assert isinstance(found, Value)
    assert found.data == b"one"
    assert store.compare_and_swap("p/a", b"two", ABSENT) == VersionConflict(found)
    assert store.compare_and_swap("p/a", b"two", found.version) == Written()


def test_listing_has_only_the_prefix(store: EtcdStore) -> None:
    for key in ("p/a", "p/b", "q/a"):
        store.compare_and_swap(key, b"x", ABSENT)
    listing = store.list("p/")
    assert isinstance(listing, Listing)
    assert [value.key for value in listing.values] == ["p/a", "p/b"]


def test_watch_yields_later_writes(store: EtcdStore) -> None:
    store.compare_and_swap("p/a", b"before", ABSENT)
    listing = store.list("p/")
    assert isinstance(listing, Listing)
    watch = store.watch("p/", listing.revision)
    writer = threading.Timer(0.1, store.compare_and_swap, ("p/b", b"after", ABSENT))
    writer.start()
    found = next(watch)
    writer.join()
    assert isinstance(found, Value)
    assert (found.key, found.data) == ("p/b", b"after")


def test_watch_ends_when_the_service_goes_down(store: EtcdStore, service: StoreStandIn) -> None:
    watch = store.watch("p/", 1)
    threading.Timer(0.1, setattr, (service, "down", True)).start()
    assert isinstance(next(watch), Unanswered)
    assert list(watch) == []


def test_call_to_a_silent_service_is_unanswered(store: EtcdStore, service: StoreStandIn) -> None:
    service.down = True
    assert isinstance(store.get("p/a"), Unanswered)


def test_call_to_a_closed_port_is_unreachable() -> None:
    service = StoreStandIn()
    url = service.url
    service.close()
    assert isinstance(EtcdStore(url).get("p/a"), Unreachable)


def test_write_may_take_effect_without_an_answer(store: EtcdStore, service: StoreStandIn) -> None:
    service.lose_answers = 1
    assert isinstance(store.compare_and_swap("p/a", b"one", ABSENT), Unanswered)
    found = store.get("p/a")
    assert isinstance(found, Value)
    assert found.data == b"one"


def test_restored_service_lacks_later_writes(store: EtcdStore, service: StoreStandIn) -> None:
    service.save()
    store.compare_and_swap("p/a", b"one", ABSENT)
    service.restore()
    assert store.get("p/a") is None


def test_lease_is_granted_and_renewed(store: EtcdStore) -> None:
    lease = store.grant_lease(10)
    assert isinstance(lease, int)
    assert store.renew_lease(lease) is True
    assert store.renew_lease(lease + 1) is False
