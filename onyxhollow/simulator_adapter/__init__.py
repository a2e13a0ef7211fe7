"""The decisions on the operators' simulator: its messages become calls, their requests become messages.

`wire` decodes and checks values, `instance` is one simulated proxy, `adapter` the conversation.
"""
