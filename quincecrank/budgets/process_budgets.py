"""The budgets of one process, which all of its listeners share."""

from quincecrank.budgets import (
    byte_budget,
    chunk_reader,
    connection_budget,
    head_turns,
    linger_budget,
)


class ProcessBudgets:
    """Budgets of one process.

    Parameters
    ----------
    memory_mb : int
        Memory that the process may use.
    max_descriptors : int
        Descriptors that the process may have open.

    Attributes
    ----------
    bytes : ByteBudget
        Bytes that are held for others.
    descriptors : DescriptorBudget
        Descriptors of connections.
    chunk_reader : ChunkReader
        Reads the bodies in chunks.
    head_turns : HeadTurns
        Heads of many lines that wait to be parsed.
    linger : LingerBudget
        What is read of rejected requests.
    """

    def __init__(self, memory_mb: int, max_descriptors: int) -> None:
        self.bytes = byte_budget.ByteBudget(memory_mb)
        self.descriptors = connection_budget.DescriptorBudget(max_descriptors)
        self.chunk_reader = chunk_reader.ChunkReader()
        self.head_turns = head_turns.HeadTurns()
        self.linger = linger_budget.LingerBudget()
