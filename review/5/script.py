"""A part of prompts that crashes workers after their first event is never found."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from crashing import CrashCase  # noqa: E402

CRASHES = 5
MOST_REQUESTS = 3
HARMFUL_SECONDS = 1.0
SOUND_SECONDS = 0.4
PLAY_SECONDS = 30.0
SHARED_PART, HARMFUL_PART, SOUND_PART = "5c1e07a2", "91bd3f06", "e4402b7d"


class HarmfulPartCase(CrashCase):
    """Requests with a harmful part, no two alike, beside sound ones."""

    crash_seconds = 0.2
    writes_first_event = True

    def is_harmful(self, headers):
        """Return whether a request crashes its worker."""
        return HARMFUL_PART in headers.get("x-prompt-prefix", "")

    async def play(self):
        """Send sound and harmful requests; return the exit status."""
        await self.start()
        self.spawn(self.send("sound", SOUND_PART, SOUND_SECONDS))
        self.spawn(self.send("harmful", HARMFUL_PART, HARMFUL_SECONDS))
        await asyncio.sleep(PLAY_SECONDS)
        return self.judge(CRASHES, MOST_REQUESTS)

    async def send(self, kind, part, seconds):
        """Send requests with a part at the entry hosts in turn, until cancelled."""
        fronts = list(self.fleet.fronts.values())
        number = 0
        while True:
            number += 1
            name = f"{kind}-{number}"
            prompt = f"{SHARED_PART}:80,{part}:80,{number:08x}:90"
            front = fronts[number % len(fronts)]
            self.spawn(
                self.ask(name, front, name.encode(), **{"X-Prompt-Prefix": prompt})
            )
            await asyncio.sleep(seconds)


if __name__ == "__main__":
    HarmfulPartCase.main(FOLDER)
