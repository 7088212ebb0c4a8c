"""Which backend servers are leaving, by whichever source says so first."""

from mulberrybay_core.fleet import BackendServer


class LeavingServers:
    """Collects what the platform's list, replies and health checks say."""

    def __init__(self) -> None:
        self._announced_ids: set[str] = set()

    def note_reply(self, server_id: str, is_leaving: bool) -> None:
        """Takes what a server's own reply says of it."""
        if is_leaving:
            self._announced_ids.add(server_id)
        else:
            self._announced_ids.discard(server_id)

    def is_leaving(self, server: BackendServer) -> bool:
        """Returns whether a server is leaving."""
        return (
            server.state == "leaving" or server.server_id in self._announced_ids
        )
