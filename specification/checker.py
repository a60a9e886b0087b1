"""Checks of specifications: bounded, by induction, and of bounded response."""

import z3
from attrs import field, frozen

from .model import State

__all__ = ["Violation", "check_induction", "check_response", "find_violation"]


@frozen
class Violation:
    """An invariant is broken.

    Parameters
    ----------
    invariant : str
    trace : tuple of str
        Names of the actions that lead there.
    """

    invariant = field()
    trace = field()


def find_violation(specification, depth=None):
    """Search all runs of up to `depth` steps.

    Returns
    -------
    Violation or None
        The shortest, if there is any.
    """
    depth = specification.depth if depth is None else depth
    solver = z3.SolverFor("QF_FD")
    states = [State(specification.variables, 0)]
    solver.add(specification.start(states[0]))
    for step in range(depth + 1):
        invariants = specification.list_invariants(states[-1])
        solver.push()
        solver.add(z3.Not(z3.And(*invariants.values())))
        if _is_satisfiable(solver):
            return _read_violation(specification, solver.model(), states)
        solver.pop()
        solver.add(*invariants.values())
        states.append(State(specification.variables, step + 1))
        solver.add(_relate(specification, *states[-2:]))
    return None


def check_induction(specification):
    """Return names of invariants and lemmas that are not inductive together.

    If there are none, they hold at every depth.
    """
    state = State(specification.variables, "a")
    following = State(specification.variables, "b")
    holds = _list_all(specification, state)
    failed = []
    for name, condition in holds.items():
        if _is_possible(specification.start(state), z3.Not(condition)):
            failed.append(name)
    relation = _relate(specification, state, following)
    for name, condition in _list_all(specification, following).items():
        if _is_possible(*holds.values(), relation, z3.Not(condition)):
            failed.append(name)
    return tuple(dict.fromkeys(failed))


def check_response(specification):
    """Return whether the fair schedule reaches the goal from everywhere.

    From each state that satisfies invariants and lemmas, the actions of
    `fair_schedule` happen in their order, each if it may. This is liveness
    with a bound: a network and a scheduler that are fair for that long are
    enough, whatever happened before.
    """
    state = State(specification.variables, "f")
    actions = {a.name: a for a in specification.list_actions(state)}
    values = dict(state.iterate())
    for name in specification.fair_schedule:
        values = _apply(state, actions[name], values)
    goal = state.substitute(specification.goal(state), values)
    holds = _list_all(specification, state)
    return not _is_possible(*holds.values(), z3.Not(goal))


def _list_all(specification, state):
    return {
        **specification.list_invariants(state),
        **specification.list_lemmas(state),
    }


def _is_possible(*conditions):
    solver = z3.SolverFor("QF_FD")
    solver.add(*conditions)
    return _is_satisfiable(solver)


def _is_satisfiable(solver):
    answer = solver.check()
    if answer == z3.unknown:
        raise RuntimeError(f"z3 could not decide: {solver.reason_unknown()}")
    return answer == z3.sat


def _relate(specification, state, following):
    steps = [_step(a, state, following) for a in specification.list_actions(state)]
    return z3.Or(*steps)


def _step(action, state, following):
    after = dict(following.iterate())
    kept = [
        after[key] == action.updates.get(key, value) for key, value in state.iterate()
    ]
    return z3.And(action.guard, *kept)


def _apply(state, action, values):
    guard = state.substitute(action.guard, values)
    fresh = dict(values)
    for key, update in action.updates.items():
        changed = state.substitute(_lift(update, values[key]), values)
        fresh[key] = z3.If(guard, changed, values[key])
    return fresh


def _lift(update, like):
    if isinstance(update, z3.ExprRef):
        return update
    return z3.BoolVal(update) if z3.is_bool(like) else z3.BitVecVal(update, like.size())


def _read_violation(specification, model, states):
    trace = []
    for state, following in zip(states, states[1:], strict=False):
        for action in specification.list_actions(state):
            step = _step(action, state, following)
            if z3.is_true(model.eval(step, model_completion=True)):
                trace.append(action.name)
                break
    invariants = specification.list_invariants(states[-1])
    broken = [
        name
        for name, condition in invariants.items()
        if not z3.is_true(model.eval(condition, model_completion=True))
    ]
    return Violation(broken[0], tuple(trace))
