"""The former name of `exit_with_parent`, for callers that import or start it under this one."""

from marlseam.experiment.exit_with_parent import exit_with_parent as tie
from marlseam.experiment.exit_with_parent import main

__all__ = ["main", "tie"]

if __name__ == "__main__":
    main()
