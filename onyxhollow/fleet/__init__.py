"""The fleet's parts put on a proxy: its file, its datagrams, its duties and what they do, its commands."""
