"""Shared service addresses: advertised from healthy sites, withdrawn on loss of health."""
