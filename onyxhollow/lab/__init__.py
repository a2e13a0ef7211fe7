"""The lab: a model of fleet, clients and network on which decisions are played, judged and compared."""
