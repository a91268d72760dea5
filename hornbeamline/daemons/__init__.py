"""Wiring of the services of each hornbeamline process.

Each process has its own module and imports no other process module, since
every import delays its start.
"""
