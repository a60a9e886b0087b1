"""Chats that are asked for at one host, and what each of them has to bring."""

from attrs import field, frozen

from .streams import join_stream, make_text

__all__ = ["AskedChat", "ask_chats", "check_whole"]


@frozen
class AskedChat:
    """A chat and its answer.

    Parameters
    ----------
    prompt : str
    is_stream : bool
    answer : CallerAnswer
    """

    prompt = field()
    is_stream = field()
    answer = field()


def ask_chats(caller, prompts, streams, tokens, headers=None):
    """Ask for one chat after another; return a list of `AskedChat`.

    Parameters
    ----------
    caller : Caller
    prompts : list of str
    streams : int
        How many of them, the last ones, are streams.
    tokens : int
        Length of each answer.
    headers : dict, optional
        Further headers of each request.
    """
    first_stream = len(prompts) - streams
    return [
        _ask(caller, prompt, number >= first_stream, tokens, headers or {})
        for number, prompt in enumerate(prompts)
    ]


def check_whole(asked, tokens):
    """Check that each chat got its own whole answer."""
    for chat in asked:
        assert chat.answer.status == 200, chat
        assert _read_text(chat) == make_text(chat.prompt, tokens), chat


def _ask(caller, prompt, is_stream, tokens, headers):
    answer = caller.chat(prompt, max_tokens=tokens, stream=is_stream, headers=headers)
    return AskedChat(prompt, is_stream, answer)


def _read_text(chat):
    if chat.is_stream:
        return join_stream(chat.answer.body)
    return chat.answer.json["choices"][0]["message"]["content"]
