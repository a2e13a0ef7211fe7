"""Speaks the bench's wire: decodes events into calls on the decision module, encodes what it asks."""
