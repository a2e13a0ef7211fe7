"""Where each endpoint is reached from this process."""

from __future__ import annotations

Address = tuple[str, int]  # host and port


class EndpointAddresses:
    """Addresses by endpoint name. An address differs from proxy to proxy and may change.

    The endpoint list bounds it: names come from there alone.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Address] = {}

    def store(self, name: str, address: Address) -> None:
        """Sets the address of an endpoint."""
        self.by_name[name] = address

    def find(self, name: str) -> Address | None:
        """The address of an endpoint; None if the list has not named it."""
        return self.by_name.get(name)
