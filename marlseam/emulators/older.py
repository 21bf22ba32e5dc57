"""A node of an older release, which cannot read a configuration version in the current format.

python -m marlseam.emulators.older serve ...
"""

from marlseam.__main__ import main
from marlseam.cluster.replication import content

if __name__ == "__main__":
    content.FORMAT -= 1
    main()
