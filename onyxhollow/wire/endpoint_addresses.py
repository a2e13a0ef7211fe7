"""Network addresses of endpoints."""

from __future__ import annotations

Address = tuple[str, int]  # host and port


class EndpointAddresses:
    """Addresses by endpoint name; an address may differ between proxies, and may change.

    All names come from the endpoint list, which therefore limits the size.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Address] = {}

    def store(self, name: str, address: Address) -> None:
        """Store the address of an endpoint."""
        self.by_name[name] = address

    def find(self, name: str) -> Address | None:
        """Return the address of an endpoint, or None if the list has not contained it."""
        return self.by_name.get(name)
