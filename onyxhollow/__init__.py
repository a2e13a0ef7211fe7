"""onyxhollow: a balancer for long-lived connections."""
