"""Mapping of accounts to slots and of slots to hosts.

Slots form pairs: an account's budget in a data centre is divided between the two
slots of one pair. Different hosts own the two if there are at least two hosts, so
the failure of a single host never removes the whole budget.
"""

import xxhash

__all__ = ["PAIR_SIZE", "choose_slot_host", "find_slots", "hash_text", "rank_hosts"]

PAIR_SIZE = 2


def hash_text(text):
    """Return a 64-bit hash that is the same on every host."""
    return xxhash.xxh3_64_intdigest(text.encode())


def find_slots(account, slot_count):
    """Return the numbers of the slots that cover an account.

    Examples
    --------
    >>> find_slots("desk", 2)
    (0, 1)
    """
    if slot_count < PAIR_SIZE:
        return (0,)
    pair = hash_text(account) % (slot_count // PAIR_SIZE)
    return (pair * PAIR_SIZE, pair * PAIR_SIZE + 1)


def rank_hosts(subject, names):
    """Return hosts' names ranked by rendezvous hashing, first choice first."""
    return sorted(names, key=lambda name: hash_text(f"{subject}/{name}"))


def choose_slot_host(slot, names):
    """Return the name of the host that should own a slot."""
    ranked = rank_hosts(slot // PAIR_SIZE, names)
    return ranked[slot % PAIR_SIZE % len(ranked)]
