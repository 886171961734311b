"""Generates seeded open-loop arrivals of both users' requests.

Each arrival has its complete request body. All arrivals are generated before
the run, without waiting for answers: an engine's answer is determined by the
prompt and the seed, so the history of each chat is known in advance.
"""

import itertools
import random
import typing

from standins import _deterministic_tokens

PROCURADOR_CUSTOMERS = ("chiado", "belem", "alfama", "lumiar", "arroios")
PROCURADOR_WEIGHTS = (4, 3, 1, 1, 1)
LOUNGE_CUSTOMERS = ("sala-etna", "sala-ionio", "sala-normanna")
LOUNGE_WEIGHTS = (3, 3, 2)
DOOR_CUSTOMERS = ("kiosks", "partner-airlines", *LOUNGE_CUSTOMERS)
TEMPLATE_COUNT = 12
MANDATES_MAX = 60
CHATS_MAX = 40
#: The shortest time between the arrivals of two turns of a chat, in seconds.
THINK_TIME_S = 6.0
PROMPT_LINE = (
    "The grantor empowers the attorney named below to act in matter {0} "
    "of file {1} before any registry, under clause {2}.\n"
)

Body = dict[str, typing.Any]


class Arrival:
    """One request and its intended send time.

    The send time does not depend on the answers to earlier requests.
    ``at_s`` is that time in seconds since the start of the run.

    :param work: the kind of work, such as ``mandate``.
    :param entry: the catalogue entry that the request names.
    :param body: the JSON body of a model request or of a service call.
    :param key: where the idempotency key comes from: ``made`` by the client,
        ``minted`` by an entry VM, or empty for no key.
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
        """Whether this is a model request; all of those are streamed."""
        return bool(self.body and self.body.get("stream"))

    @property
    def operation(self) -> str | None:
        """The ID of a non-idempotent operation; None for other requests."""
        return (self.body or {}).get("operation")


class _Mandate:
    """A mandate whose text grows with each check."""

    __slots__ = ("customer", "text", "checks")

    def __init__(self, customer: str, text: str) -> None:
        self.customer = customer
        self.text = text
        self.checks = 0


class _Chat:
    """A conversation with its history and the earliest next turn."""

    __slots__ = ("customer", "messages", "ready_at_s")

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.messages: list[dict[str, str]] = []
        self.ready_at_s = 0.0


ArrivalFactory = typing.Callable[["Workload"], Arrival]
_ARRIVAL_FACTORIES: dict[str, tuple[float, ArrivalFactory]] = {}


def work_kind(
    name: str, weight: float
) -> typing.Callable[[ArrivalFactory], ArrivalFactory]:
    """Register the factory of a kind of work.

    :param name: the name of the kind.
    :param weight: how often the kind occurs, relative to the other kinds.
    """

    def register(factory: ArrivalFactory) -> ArrivalFactory:
        _ARRIVAL_FACTORIES[name] = (weight, factory)
        return factory

    return register


def work_kinds() -> list[str]:
    """The names of all kinds of work."""
    return list(_ARRIVAL_FACTORIES)


class Workload:
    """A random mix of both users' requests.

    :param seed: the same seed gives the same requests.
    :param rate_per_s: the mean arrival rate.
    :param only: the kinds of work to generate; all if empty.
    """

    def __init__(
        self, seed: int, rate_per_s: float, only: typing.Sequence[str] = ()
    ) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._enabled_kinds = [
            name for name in _ARRIVAL_FACTORIES if not only or name in only
        ]
        self._weights = [
            _ARRIVAL_FACTORIES[name][0] for name in self._enabled_kinds
        ]
        self._mandates: list[_Mandate] = []
        self._chats: list[_Chat] = []
        self._sequence = itertools.count(1)
        self._elapsed_s = 0.0

    def arrivals(self, seconds: float) -> list[Arrival]:
        """Generate Poisson arrivals over a duration, in order of time."""
        arrivals = []
        while True:
            self._elapsed_s += self._rng.expovariate(self._rate_per_s)
            if self._elapsed_s >= seconds:
                return arrivals
            name = self._rng.choices(self._enabled_kinds, self._weights)[0]
            arrival = _ARRIVAL_FACTORIES[name][1](self)
            arrival.number = len(arrivals)
            arrival.at_s = self._elapsed_s
            arrivals.append(arrival)

    @work_kind("mandate", 30)
    def _check_mandate(self) -> Arrival:
        mandate = self._draw_mandate()
        mandate.checks += 1
        mandate.text += _prompt_lines(f"added-{mandate.checks}", 3)
        body = self._completion_body("mandate-check", mandate.text, 60, 160)
        return self._model_request(
            "mandate", mandate.customer, body, "notary-desk"
        )

    @work_kind("lookup", 15)
    def _look_up(self) -> Arrival:
        number = next(self._sequence)
        prompt = f"Status of file {self._seed}-{number}, in one line."
        body = self._completion_body("mandate-check", prompt, 8, 20)
        return self._model_request(
            "lookup", self._draw_notary_customer(), body, "notary-desk"
        )

    @work_kind("summary", 10)
    def _summarise_clauses(self) -> Arrival:
        mandate = self._draw_mandate()
        text = mandate.text + "Summarise the clauses."
        body = self._completion_body("clause-summary", text, 80, 150)
        return self._model_request(
            "summary", mandate.customer, body, "clause-summary"
        )

    @work_kind("chat", 20)
    def _chat(self) -> Arrival:
        chat = self._draw_chat()
        number = next(self._sequence)
        question = f"Turn {number}: my flight is late, what can I do for "
        question += (
            f"{self._rng.randint(1, 9)} hours with {number % 4} children?"
        )
        chat.messages.append({"role": "user", "content": question})
        body = self._model_body("concierge-chat", 40, 120)
        body["messages"] = list(chat.messages)
        answer = _deterministic_tokens.expected_answer(
            _deterministic_tokens.prompt_from_body(body),
            body["seed"],
            body["max_tokens"],
        )
        reply = {"role": "assistant", "content": "".join(answer)}
        chat.messages.append(reply)
        chat.ready_at_s = self._elapsed_s + THINK_TIME_S
        return self._model_request("chat", chat.customer, body, "lounge-chat")

    @work_kind("itinerary", 7)
    def _draft_itinerary(self) -> Arrival:
        number = next(self._sequence)
        text = _prompt_lines("house rules", 20) + f"Draft itinerary {number}."
        body = self._completion_body("itinerary", text, 120, 250)
        return self._model_request(
            "itinerary", self._draw_lounge_customer(), body, "itinerary"
        )

    @work_kind("registration", 8)
    def _register_document(self) -> Arrival:
        body = {"operation": self._next_operation("registration")}
        key = self._rng.choice(("made", "minted"))
        return Arrival(
            "registration",
            self._draw_notary_customer(),
            "registo-app",
            "register",
            "/registrations",
            body,
            key=key,
        )

    @work_kind("pass_check", 6)
    def _check_pass(self) -> Arrival:
        path = f"/passes/{next(self._sequence)}"
        return Arrival(
            "pass_check",
            self._draw_door_customer(),
            "access-core",
            "door",
            path,
            None,
            "GET",
        )

    @work_kind("entry", 4)
    def _issue_entry(self) -> Arrival:
        body = {"operation": self._next_operation("entry")}
        key = self._rng.choice(("made", "minted"))
        return Arrival(
            "entry",
            self._draw_door_customer(),
            "access-core",
            "door",
            "/entries",
            body,
            key=key,
        )

    def _next_operation(self, kind: str) -> str:
        return f"{kind}-{self._seed}-{next(self._sequence)}"

    def _draw_notary_customer(self) -> str:
        return self._rng.choices(PROCURADOR_CUSTOMERS, PROCURADOR_WEIGHTS)[0]

    def _draw_lounge_customer(self) -> str:
        return self._rng.choices(LOUNGE_CUSTOMERS, LOUNGE_WEIGHTS)[0]

    def _draw_door_customer(self) -> str:
        return self._rng.choice(DOOR_CUSTOMERS)

    def _draw_mandate(self) -> _Mandate:
        if self._mandates and self._rng.random() > 1 / 6:
            return self._rng.choice(self._mandates)
        number = next(self._sequence)
        template = self._rng.randrange(TEMPLATE_COUNT)
        text = _prompt_lines("system", 16) + _prompt_lines(
            f"template-{template}", 40
        )
        text += _prompt_lines(f"mandate-{self._seed}-{number}", 40)
        mandate = _Mandate(self._draw_notary_customer(), text)
        self._mandates = [*self._mandates, mandate][-MANDATES_MAX:]
        return mandate

    def _draw_chat(self) -> _Chat:
        ready = [c for c in self._chats if c.ready_at_s <= self._elapsed_s]
        if ready and self._rng.random() > 1 / 8:
            return self._rng.choice(ready)
        chat = _Chat(self._draw_lounge_customer())
        greeting = _prompt_lines("concierge", 12)
        chat.messages.append({"role": "system", "content": greeting})
        self._chats = [*self._chats, chat][-CHATS_MAX:]
        return chat

    def _completion_body(
        self, entry: str, prompt: str, min_tokens: int, max_tokens: int
    ) -> Body:
        return {
            **self._model_body(entry, min_tokens, max_tokens),
            "prompt": prompt,
        }

    def _model_body(
        self, entry: str, min_tokens: int, max_tokens: int
    ) -> Body:
        return {
            "model": entry,
            "max_tokens": self._rng.randint(min_tokens, max_tokens),
            "seed": self._rng.randrange(1 << 30),
            "stream": True,
        }

    def _model_request(
        self, name: str, customer: str, body: Body, service_class: str
    ) -> Arrival:
        chat = "messages" in body
        path = "/v1/chat/completions" if chat else "/v1/completions"
        return Arrival(
            name, customer, body["model"], service_class, path, body
        )


def _prompt_lines(name: str, count: int) -> str:
    return "".join(PROMPT_LINE.format(name, i, i % 7) for i in range(count))
