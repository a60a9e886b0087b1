"""``/v1/models``: the models that a client account may name."""

from ..refusals import Refusal, RefusalCode
from .resources import Resource, send_json

__all__ = ["ModelResource"]

MODELS_PATH = "/v1/models"
OWNER = "mangogauge"


class ModelResource(Resource):
    """Lists models in the OpenAI shapes."""

    name = "models"

    def matches(self, path):
        """Return whether `path` is about models."""
        return path == MODELS_PATH or path.startswith(MODELS_PATH + "/")

    async def serve(self, exchange, account, request_id):
        """Serve the list or one model."""
        if exchange.method not in ("GET", "HEAD"):
            raise Refusal(RefusalCode.METHOD_FORBIDDEN, "Models can only be read.")
        shown = {
            name: _show_model(name)
            for name, model in self.settings.models.items()
            if not model.accounts or account in model.accounts
        }
        if exchange.path == MODELS_PATH:
            value = {"object": "list", "data": list(shown.values())}
            await send_json(exchange, value, request_id)
            return
        name = exchange.path.removeprefix(MODELS_PATH + "/")
        if name not in shown:
            raise Refusal(
                RefusalCode.MODEL_UNKNOWN, f"There is no model {name!r} here."
            )
        await send_json(exchange, shown[name], request_id)


def _show_model(name):
    return {"id": name, "object": "model", "created": 0, "owned_by": OWNER}
