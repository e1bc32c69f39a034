"""Generates example prompts of both users: long documents and short questions.

Style guides and wire copy (news items) are Nepali, release manifests and device
questions Spanish.  Sizes are in tokens of four UTF-8 bytes.  The same arguments give
the same text, and documents with different seeds differ from their first line on.
"""

import random
from collections.abc import Callable
from typing import Final

from standins import answers

_STATIONS: Final = (
    "रेडियो सगरमाथा किरण",
    "रेडियो लालीगुराँस",
    "कर्णाली आवाज",
    "पाटन सामुदायिक रेडियो",
    "भक्तपुर स्वर",
    "तराई सञ्चार",
    "रेडियो मनकामना पथ",
    "हिमाल खबर एफएम",
)

_DISTRICTS: Final = (
    "धादिङ",
    "सिन्धुपाल्चोक",
    "काभ्रे",
    "डोटी",
    "जुम्ला",
    "रामेछाप",
    "ताप्लेजुङ",
    "बर्दिया",
    "मुस्ताङ",
    "सुर्खेत",
)

_TOPICS: Final = (
    "पहिरो र सडक अवरोध",
    "मौसम पूर्वानुमान",
    "स्थानीय चुनाव",
    "दूध र तरकारीको मूल्य",
    "विद्यालय भर्ना",
    "खोप अभियान",
    "खानेपानी आयोजना",
    "विद्युत् कटौती",
    "बाली बिमा",
    "हराएका व्यक्ति",
)

_GUIDE_SUBJECTS: Final = (
    "पहिलो वाक्यमा",
    "समाचारको शीर्षकमा",
    "बुलेटिनको अन्त्यमा",
    "सम्वाददाताको नाम दिँदा",
    "दुर्घटनाको समाचारमा",
    "मूल्य वा रकम लेख्दा",
    "ठाउँको नाम उच्चारण गर्दा",
    "सरकारी विज्ञप्ति उद्धृत गर्दा",
)

_GUIDE_RULES: Final = (
    "घटना भएको ठाउँ र समय दुवै खुलाउनुपर्छ",
    "बीस शब्दभन्दा लामो वाक्य नराख्नुहोस्",
    "पुष्टि नभएको सङ्ख्या प्रयोग नगर्नुहोस्",
    "स्रोतको पद पहिले र नाम पछि राख्नुहोस्",
    "अङ्ग्रेजी शब्दको सट्टा प्रचलित नेपाली शब्द रोज्नुहोस्",
    "पीडितको परिचय खुल्ने विवरण हटाउनुहोस्",
    "मिति विक्रम संवत्मा र दिन बारमा भन्नुहोस्",
    "श्रोताले एकै पटकमा बुझ्ने गरी टुक्र्याउनुहोस्",
    "अघिल्लो बुलेटिनमा गएको कुरा दोहोर्‍याउनु परे किन भन्ने खुलाउनुहोस्",
)

_GUIDE_REASONS: Final = (
    "पहाडका श्रोताले कमजोर सङ्केतमा सुन्छन्",
    "साझेदार स्टेशनले यही पाठ सीधै पढ्छ",
    "सच्याउने समय घण्टा लाग्नुअघि मात्र हुन्छ",
    "गलत विवरणले उद्धार टोली अल्मलिन्छ",
    "एउटै खबर दुई पटक गन्ती हुन नदिन",
)

_MODELS: Final = ("Quetzal 6", "Quetzal 7 Plus", "Ceiba Mini", "Ceiba Nota", "Mazorca")

_COMPONENTS: Final = (
    "gestor de energía",
    "motor de página",
    "pila inalámbrica",
    "cargador de arranque",
    "índice de biblioteca",
    "diccionario sin conexión",
    "controlador de la pantalla",
    "sincronización de marcadores",
    "lector de pantalla",
    "servicio de telemetría",
)

_CHANGES: Final = (
    "corrige un reinicio al abrir libros con más de mil notas",
    "reduce el parpadeo al pasar de página con poca batería",
    "evita que la descarga se repita si el dispositivo ya confirmó la instalación",
    "aplaza la actualización mientras haya un capítulo abierto",
    "recupera la posición de lectura después de un corte de corriente",
    "limita los reintentos cuando la red del hotel pide una página de acceso",
    "conserva las fuentes que instaló la persona usuaria",
    "verifica la firma de cada bloque antes de escribirlo",
)

_CONDITIONS: Final = (
    "solo con batería por encima del treinta por ciento",
    "no aplicar si la compilación instalada es más reciente",
    "requiere el cargador de arranque revisión cuatro o posterior",
    "excluir los dispositivos que atiende la mesa de soporte",
    "esperar a la ventana nocturna de la zona horaria del dispositivo",
    "aplicar primero al grupo piloto de Lectora Norte",
)

_CITIES: Final = ("Querétaro", "Mérida", "Saltillo", "Puebla", "Oaxaca", "Tijuana")


def style_guide(seed: int, tokens: int) -> str:
    """Return a Nepali bulletin style guide of exactly `tokens` tokens."""
    chooser = random.Random(f"guide {seed}")
    station = chooser.choice(_STATIONS)
    opening = f"{station}, बुलेटिन लेखन निर्देशिका, संस्करण {seed}\n\n"
    return _fill(opening, tokens, lambda number: _guide_rule(chooser, number))


def release_manifest(seed: int, tokens: int) -> str:
    """Return a Spanish firmware release manifest of exactly `tokens` tokens."""
    chooser = random.Random(f"manifest {seed}")
    model = chooser.choice(_MODELS)
    opening = f"Manifiesto de versión {seed}: {model}, canal estable\n\n"
    return _fill(opening, tokens, lambda number: _manifest_entry(chooser, number))


def wire_copy(seed: int) -> str:
    """Return a short Nepali item from a district correspondent, to be classified."""
    chooser = random.Random(f"wire {seed}")
    district = chooser.choice(_DISTRICTS)
    topic = chooser.choice(_TOPICS)
    people = chooser.randint(2, 90)
    return (
        f"\n\nजिल्ला सम्वाददाता, {district}: {topic} सम्बन्धी खबर {seed}। "
        f"स्थानीय प्रशासनका अनुसार {people} घरपरिवार प्रभावित छन्। "
        f"यो खबर कुन वर्गमा पर्छ र छोटो बुलेटिन कसरी पढ्ने?\n"
    )


def device_question(seed: int) -> str:
    """Return a Spanish question whether one device should install a release."""
    chooser = random.Random(f"device {seed}")
    model = chooser.choice(_MODELS)
    city = chooser.choice(_CITIES)
    battery = chooser.randint(5, 100)
    build = chooser.randint(1_000, 9_999)
    return (
        f"\n\nDispositivo {seed}: {model} en {city}, compilación instalada {build}, "
        f"batería al {battery} por ciento, capítulo abierto: "
        f"{chooser.choice(('sí', 'no'))}. ¿Debe tomar esta versión?\n"
    )


def _guide_rule(chooser: random.Random, number: int) -> str:
    return (
        f"{number}. {chooser.choice(_GUIDE_SUBJECTS)} "
        f"{chooser.choice(_GUIDE_RULES)}; {chooser.choice(_GUIDE_REASONS)}। "
        f"उदाहरण: {chooser.choice(_DISTRICTS)}मा "
        f"{chooser.choice(_TOPICS)}, बुँदा {chooser.randint(1, 999)}।\n"
    )


def _manifest_entry(chooser: random.Random, number: int) -> str:
    return (
        f"{number:04d} {chooser.choice(_COMPONENTS)} "
        f"{chooser.randint(1, 9)}.{chooser.randint(0, 20)}.{chooser.randint(0, 99)}: "
        f"{chooser.choice(_CHANGES)}; {chooser.choice(_CONDITIONS)}. "
        f"Suma {chooser.getrandbits(64):016x}, {chooser.randint(20, 900)} kB.\n"
    )


def _fill(opening: str, tokens: int, next_part: Callable[[int], str]) -> str:
    """Append parts to `opening` and cut the text to `tokens` tokens."""
    size = tokens * answers.TOKEN_BYTES
    parts = [opening]
    length = len(opening.encode())
    while length < size:
        part = next_part(len(parts))
        parts.append(part)
        length += len(part.encode())
    # A character split by the cut is replaced by spaces.
    cut = "".join(parts).encode()[:size].decode(errors="ignore")
    return cut + " " * (size - len(cut.encode()))
