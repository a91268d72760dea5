"""Entry point of `python -m hornbeamline`."""

from __future__ import annotations

from hornbeamline.cli import main

if __name__ == '__main__':
    main()
