"""The management API for operators and the metrics page; the handlers are passed in by the caller."""
