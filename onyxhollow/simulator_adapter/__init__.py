"""Runs the policy on the operators' simulator: translates its messages to calls and requests to messages.

`wire` decodes and checks values, `instance` is one simulated proxy, `adapter` processes batches of messages.
"""
