"""The former name of `startup_timing`, for callers that start it under this one."""

from marlseam.experiment.startup_timing import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
