"""Sockets that listen before the rest of the process has started."""

import socket
from collections.abc import Iterator

import pytest
from paddleshunt_node import listening
from paddleshunt_platform.standins.ports import free_port


@pytest.fixture(autouse=True)
def _close_unused_sockets() -> Iterator[None]:
    yield
    listening.close_early()


@pytest.fixture
def address() -> str:
    return f"127.0.0.1:{free_port()}"


def can_connect(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as client:
        return client.connect_ex((host, int(port))) == 0


def test_early_connection_is_accepted_later(address: str) -> None:
    listening.listen_early([address])
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        listener = listening.take_listener(address)
        connection, _ = listener.accept()
        client.sendall(b"job")
        assert connection.recv(3) == b"job"
        connection.close()
        listener.close()


def test_address_without_an_early_socket_is_listened_on_when_taken(address: str) -> None:
    listener = listening.take_listener(address)
    assert can_connect(address)
    listener.close()


def test_an_address_in_use_is_an_error(address: str) -> None:
    listening.listen_early([address])
    with pytest.raises(OSError, match="in use"):
        listening.listen_early([address])


def test_unused_early_socket_is_closed(address: str) -> None:
    listening.listen_early([address])
    listening.close_early()
    assert not can_connect(address)
