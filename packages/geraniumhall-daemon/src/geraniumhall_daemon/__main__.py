"""Runs the daemon as ``python -m geraniumhall_daemon``.

The import of the daemon takes a while, in which signals must not end the process.
"""

from geraniumhall_daemon.signals import ignore_early_signals

ignore_early_signals()


def main() -> None:
    """Run the command line of geraniumhalld."""
    from geraniumhall_daemon.main import main as run_command  # noqa: PLC0415

    run_command()


if __name__ == "__main__":
    main()
