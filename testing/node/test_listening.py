"""Sockets that listen before the rest of a program does."""

import socket
from collections.abc import Iterator

import pytest
from paddleshunt_node import listening
from paddleshunt_platform.standins.ports import free_port


@pytest.fixture(autouse=True)
def _nothing_is_left() -> Iterator[None]:
    yield
    listening.close_early()


@pytest.fixture
def address() -> str:
    return f"127.0.0.1:{free_port()}"


def connected(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as client:
        return client.connect_ex((host, int(port))) == 0


def test_who_connects_early_is_taken_later(address: str) -> None:
    listening.listen_early([address])
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        listener = listening.take_listener(address)
        taken, _ = listener.accept()
        client.sendall(b"job")
        assert taken.recv(3) == b"job"
        taken.close()
        listener.close()


def test_an_address_that_was_not_listened_on_early_is_listened_on_when_taken(address: str) -> None:
    listener = listening.take_listener(address)
    assert connected(address)
    listener.close()


def test_an_address_in_use_is_an_error(address: str) -> None:
    listening.listen_early([address])
    with pytest.raises(OSError, match="in use"):
        listening.listen_early([address])


def test_what_nothing_takes_is_closed(address: str) -> None:
    listening.listen_early([address])
    listening.close_early()
    assert not connected(address)
