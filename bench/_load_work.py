"""Seeded open-loop arrivals of both users' requests, as real bodies.

Nothing here waits for an answer: an engine's answer follows from prompt and
seed, so even the history of a chat is known before it is sent.
"""

import itertools
import random
import typing

from standins import _deterministic_tokens

PROCURADOR = ("chiado", "belem", "alfama", "lumiar", "arroios")
PROCURADOR_WEIGHTS = (4, 3, 1, 1, 1)
LOUNGES = ("sala-etna", "sala-ionio", "sala-normanna")
LOUNGE_WEIGHTS = (3, 3, 2)
DOORS = ("kiosks", "partner-airlines", *LOUNGES)
TEMPLATES = 12
MANDATES_MAX = 60
CHATS_MAX = 40
#: A chat's next turn comes this long after the one before at the earliest.
THINK_S = 6.0
LINE = (
    "The grantor empowers the attorney named below to act in matter {0} "
    "of file {1} before any registry, under clause {2}.\n"
)

Body = dict[str, typing.Any]


class Arrival:
    """One request, and when it is to be sent whatever happens before.

    :param at_s: since the start of the run.
    :param work: the kind of work, such as ``mandate``.
    :param body: of a model request or of a service call.
    :param key: ``made``, ``minted`` or empty: the idempotency key to use.
    """

    __slots__ = (
        "number",
        "at_s",
        "work",
        "customer",
        "entry",
        "service_class",
        "method",
        "path",
        "body",
        "key",
    )

    def __init__(
        self,
        work: str,
        customer: str,
        entry: str,
        service_class: str,
        path: str,
        body: Body | None = None,
        method: str = "POST",
        key: str = "",
    ) -> None:
        self.number = 0
        self.at_s = 0.0
        self.work = work
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.method = method
        self.path = path
        self.body = body
        self.key = key

    @property
    def is_stream(self) -> bool:
        """Whether it is a model request, which is always streamed."""
        return bool(self.body and self.body.get("stream"))

    @property
    def operation(self) -> str | None:
        """Names what must run at most once, if it is of that kind."""
        return (self.body or {}).get("operation")


class _Mandate:
    """A mandate that grows while it is checked again and again."""

    __slots__ = ("customer", "text", "checks")

    def __init__(self, customer: str, text: str) -> None:
        self.customer = customer
        self.text = text
        self.checks = 0


class _Chat:
    """A conversation with its history."""

    __slots__ = ("customer", "messages", "ready_at_s")

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.messages: list[dict[str, str]] = []
        self.ready_at_s = 0.0


Maker = typing.Callable[["Workload"], Arrival]
_MAKERS: dict[str, tuple[float, Maker]] = {}


def work(name: str, weight: float) -> typing.Callable[[Maker], Maker]:
    """Register a kind of work with its part in the mix.

    :param name: of the kind.
    :param weight: how often it comes, relative to the other kinds.
    """

    def register(maker: Maker) -> Maker:
        _MAKERS[name] = (weight, maker)
        return maker

    return register


def kinds() -> list[str]:
    """The names of all kinds of work."""
    return list(_MAKERS)


class Workload:
    """A mix of both users' requests.

    :param seed: the same seed gives the same requests.
    :param per_s: mean rate of arrivals.
    :param only: kinds of work to send; all when empty.
    """

    def __init__(
        self, seed: int, per_s: float, only: typing.Sequence[str] = ()
    ) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._kinds = [name for name in _MAKERS if not only or name in only]
        self._weights = [_MAKERS[name][0] for name in self._kinds]
        self._mandates: list[_Mandate] = []
        self._chats: list[_Chat] = []
        self._numbers = itertools.count(1)
        self._now_s = 0.0

    def arrivals(self, seconds: float) -> list[Arrival]:
        """Poisson arrivals over a time, in order."""
        made = []
        while True:
            self._now_s += self._rng.expovariate(self._per_s)
            if self._now_s >= seconds:
                return made
            name = self._rng.choices(self._kinds, self._weights)[0]
            arrival = _MAKERS[name][1](self)
            arrival.number = len(made)
            arrival.at_s = self._now_s
            made.append(arrival)

    @work("mandate", 30)
    def _check_mandate(self) -> Arrival:
        mandate = self._mandate()
        mandate.checks += 1
        mandate.text += _lines(f"added-{mandate.checks}", 3)
        body = self._completion("mandate-check", mandate.text, 60, 160)
        return self._model("mandate", mandate.customer, body, "notary-desk")

    @work("lookup", 15)
    def _look_up(self) -> Arrival:
        number = next(self._numbers)
        prompt = f"Status of file {self._seed}-{number}, in one line."
        body = self._completion("mandate-check", prompt, 8, 20)
        return self._model("lookup", self._clerk(), body, "notary-desk")

    @work("summary", 10)
    def _summarise_clauses(self) -> Arrival:
        mandate = self._mandate()
        text = mandate.text + "Summarise the clauses."
        body = self._completion("clause-summary", text, 80, 150)
        return self._model("summary", mandate.customer, body, "clause-summary")

    @work("chat", 20)
    def _chat(self) -> Arrival:
        chat = self._open_chat()
        number = next(self._numbers)
        asked = f"Turn {number}: my flight is late, what can I do for "
        asked += f"{self._rng.randint(1, 9)} hours with {number % 4} children?"
        chat.messages.append({"role": "user", "content": asked})
        body = self._body("concierge-chat", 40, 120)
        body["messages"] = list(chat.messages)
        answer = _deterministic_tokens.expected_answer(
            _deterministic_tokens.prompt_from_body(body),
            body["seed"],
            body["max_tokens"],
        )
        reply = {"role": "assistant", "content": "".join(answer)}
        chat.messages.append(reply)
        chat.ready_at_s = self._now_s + THINK_S
        return self._model("chat", chat.customer, body, "lounge-chat")

    @work("itinerary", 7)
    def _draft_itinerary(self) -> Arrival:
        number = next(self._numbers)
        text = _lines("house rules", 20) + f"Draft itinerary {number}."
        body = self._completion("itinerary", text, 120, 250)
        return self._model("itinerary", self._host(), body, "itinerary")

    @work("registration", 8)
    def _register(self) -> Arrival:
        body = {"operation": self._operation("registration")}
        key = self._rng.choice(("made", "minted"))
        return Arrival(
            "registration",
            self._clerk(),
            "registo-app",
            "register",
            "/registrations",
            body,
            key=key,
        )

    @work("pass_check", 6)
    def _check_pass(self) -> Arrival:
        path = f"/passes/{next(self._numbers)}"
        return Arrival(
            "pass_check",
            self._door(),
            "access-core",
            "door",
            path,
            None,
            "GET",
        )

    @work("entry", 4)
    def _issue_entry(self) -> Arrival:
        body = {"operation": self._operation("entry")}
        key = self._rng.choice(("made", "minted"))
        return Arrival(
            "entry",
            self._door(),
            "access-core",
            "door",
            "/entries",
            body,
            key=key,
        )

    def _operation(self, kind: str) -> str:
        return f"{kind}-{self._seed}-{next(self._numbers)}"

    def _clerk(self) -> str:
        return self._rng.choices(PROCURADOR, PROCURADOR_WEIGHTS)[0]

    def _host(self) -> str:
        return self._rng.choices(LOUNGES, LOUNGE_WEIGHTS)[0]

    def _door(self) -> str:
        return self._rng.choice(DOORS)

    def _mandate(self) -> _Mandate:
        if self._mandates and self._rng.random() > 1 / 6:
            return self._rng.choice(self._mandates)
        number = next(self._numbers)
        template = self._rng.randrange(TEMPLATES)
        text = _lines("system", 16) + _lines(f"template-{template}", 40)
        text += _lines(f"mandate-{self._seed}-{number}", 40)
        mandate = _Mandate(self._clerk(), text)
        self._mandates = [*self._mandates, mandate][-MANDATES_MAX:]
        return mandate

    def _open_chat(self) -> _Chat:
        ready = [c for c in self._chats if c.ready_at_s <= self._now_s]
        if ready and self._rng.random() > 1 / 8:
            return self._rng.choice(ready)
        chat = _Chat(self._host())
        greeting = _lines("concierge", 12)
        chat.messages.append({"role": "system", "content": greeting})
        self._chats = [*self._chats, chat][-CHATS_MAX:]
        return chat

    def _completion(
        self, entry: str, prompt: str, least: int, most: int
    ) -> Body:
        return {**self._body(entry, least, most), "prompt": prompt}

    def _body(self, entry: str, least: int, most: int) -> Body:
        return {
            "model": entry,
            "max_tokens": self._rng.randint(least, most),
            "seed": self._rng.randrange(1 << 30),
            "stream": True,
        }

    def _model(
        self, name: str, customer: str, body: Body, service_class: str
    ) -> Arrival:
        chat = "messages" in body
        path = "/v1/chat/completions" if chat else "/v1/completions"
        return Arrival(
            name, customer, body["model"], service_class, path, body
        )


def _lines(name: str, count: int) -> str:
    return "".join(LINE.format(name, i, i % 7) for i in range(count))
