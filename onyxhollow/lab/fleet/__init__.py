"""The fault rig: processes of the program with a relay between them, and a judge that reads their record."""
