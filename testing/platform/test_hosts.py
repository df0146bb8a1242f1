from paddleshunt_core.members import Host, HostState, Role
from paddleshunt_platform.hosts import HostList, HostsError
from paddleshunt_platform.standins.hosts import HostsStandIn

HOST = Host("a", Role.TARGET, "hall", "h1", "127.0.0.1:1", "results")


def test_list_is_read_and_lags() -> None:
    with HostsStandIn([HOST]) as platform:
        hosts = HostList(platform.url)
        assert hosts.fetch() == [HOST]
        platform.lagging = True
        platform.set_state("a", HostState.GONE)
        assert hosts.fetch() == [HOST]
        platform.catch_up()
        found = hosts.fetch()
        assert isinstance(found, list)
        assert found[0].state is HostState.GONE


def test_unavailable_list_is_an_error() -> None:
    with HostsStandIn([HOST]) as platform:
        platform.down = True
        assert HostList(platform.url).fetch() == HostsError("status 503")
        url = platform.url
    assert isinstance(HostList(url).fetch(), HostsError)
