"""Topology of a fleet: snapshots from running members or logs, their faults, comparison and drawing.

`model` defines the data, `faults` and `paths` detect faults, and `scene` lays out the picture. `gather`,
`logs` and `snapshot_file` provide snapshots; `draw`, `export` and `terminal` render them. No module that
`serve` loads imports this package.
"""
