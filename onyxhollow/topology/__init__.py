"""The picture of a fleet: polled from its members or read from logs, saved, compared and drawn.

`model` has what is known, `faults` and `paths` what is wrong, `scene` places it in the picture. `gather`,
`logs` and `snapshot_file` bring snapshots; `draw`, `export` and `terminal` show them. Nothing that
`serve` loads imports this package.
"""
