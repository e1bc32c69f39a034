/*
 * Life cycle of stored KV blocks: write, seal, list, read, verify, import, free.
 *
 * Write w puts an object under name w, which is never reused, into a physical slot
 * of a store VM, piece by piece; the seal (sealed_block.seal) comes last and covers
 * block key, name, weight version and payload.  Every key belongs to one (prefix,
 * weight version).  Since the directory is only a hint, a reader may be sent to any
 * name that was ever written; it copies the slot piece by piece.
 *
 * Faults: a write stops after any piece and may be listed nevertheless; objects are
 * freed, and the store restarts empty, while readers and writers that have already
 * found their slot continue to use it; a free slot is reused by other writes with the
 * old bytes still in it; the engine loads another weight version at any time.
 */

#define WRITES 3
#define SLOTS 2
#define READERS 1
#define PIECES 2
#define NONE 15

#ifndef RESTARTS
#define RESTARTS 1
#endif

/* Write 2 has the prefix of write 0, but another weight version. */
#define PREFIX(w) ((w) == 1 -> 1 : 0)
#define VERSION(w) ((w) == 2 -> 1 : 0)

typedef Slot {
  byte owner = NONE;           /* write whose name refers to this slot */
  byte piece[PIECES] = NONE;   /* write that wrote the bytes */
  byte seal = NONE             /* write whose identity and checksum it holds */
}

Slot slots[SLOTS];
byte slot_by_name[WRITES] = NONE;
byte listed;                    /* set of names that the directory ever had */
byte engine_version;

/*
 * Writes one block; a full store refuses the write.
 * code: block_mover.BlockMover._write_block, sealed_block.seal,
 * object_client.ObjectStore.put
 */
proctype Writer(byte self) {
  byte slot = NONE;
  atomic {
    if
    :: slots[0].owner == NONE -> slot = 0
    :: slots[1].owner == NONE -> slot = 1
    :: slots[0].owner != NONE && slots[1].owner != NONE -> goto refused
    fi;
    slots[slot].owner = self;
    slot_by_name[self] = slot
  };
  if
  :: slots[slot].piece[0] = self
  :: goto stopped
  fi;
  if
  :: slots[slot].piece[1] = self
  :: goto stopped
  fi;
  if
  :: slots[slot].seal = self
  :: goto stopped
  fi;
stopped:
  /* The store confirms the write, whether it is complete or not. */
  listed = listed | (1 << self);
refused:
  skip
}

#define SAME_KEY(a, b) (PREFIX(a) == PREFIX(b) && VERSION(a) == VERSION(b))

/* code: sealed_block.open_sealed */
inline verify(found_seal, piece0, piece1) {
  valid = found_seal != NONE;
#ifndef MUTANT_CHECKSUM_WITHOUT_PAYLOAD
  valid = valid && piece0 == found_seal && piece1 == found_seal;
#endif
#ifdef MUTANT_SEAL_WITHOUT_VERSION
  valid = valid && PREFIX(found_seal) == PREFIX(name)
#else
#ifndef MUTANT_SEAL_WITHOUT_IDENTITY
  valid = valid && found_seal == name && VERSION(name) == version
#endif
#endif
}

/*
 * Reads one block for a request that runs on weight version `version`.
 * code: block_mover.BlockMover._restore_block, object_client.ObjectStore.get
 */
proctype Reader() {
  byte name = NONE;
  byte version;
  byte slot = NONE;
  byte copy[PIECES] = NONE;
  byte seal = NONE;
  bool valid;

end_idle:
  atomic {
    if
    :: listed & 1 -> name = 0
    :: listed & 2 -> name = 1
    :: listed & 4 -> name = 2
    fi;
    version = engine_version;
    slot = slot_by_name[name];
    if
    :: slot == NONE -> goto missing
    :: else
    fi
  };
#ifdef MUTANT_VERIFIES_BEFORE_COPYING
  atomic { verify(slots[slot].seal, slots[slot].piece[0], slots[slot].piece[1]) };
#endif
  copy[0] = slots[slot].piece[0];
  copy[1] = slots[slot].piece[1];
  atomic {
    seal = slots[slot].seal;
#ifdef MUTANT_NO_VERIFICATION
    valid = true;
#else
#ifndef MUTANT_VERIFIES_BEFORE_COPYING
    verify(seal, copy[0], copy[1]);
#endif
#endif
    slot = NONE;
    seal = NONE
  };
  /*
   * The engine compares weight versions when it imports a block.
   * code: engine_client.EngineClient.import_block
   */
  atomic {
    if
#ifdef MUTANT_IMPORT_WITHOUT_VERSION
    :: valid ->
#else
    :: valid && engine_version == version ->
#endif
      assert(copy[0] == name && copy[1] == name);
      assert(VERSION(name) == engine_version)
    :: else
    fi
  };
missing:
  atomic {
    name = NONE;
    version = 0;
    slot = NONE;
    copy[0] = NONE;
    copy[1] = NONE;
    valid = false
  }
}

inline delete(name) {
  atomic {
    (listed & (1 << name)) && slot_by_name[name] != NONE ->
    slots[slot_by_name[name]].owner = NONE;
    slot_by_name[name] = NONE
  }
}

/* Deletes any listed block at any time, since the grace period may be too short. */
proctype Remover() {
end:
  do
  :: delete(0)
  :: delete(1)
  :: delete(2)
  od
}

inline forget(s) {
  if
  :: slots[s].owner != NONE ->
    slot_by_name[slots[s].owner] = NONE;
    slots[s].owner = NONE
  :: else
  fi
}

/* The store restarts empty; the slots hold their old bytes until they are reused. */
proctype Restarts() {
  byte restarts;
end:
  do
  :: atomic {
      restarts < RESTARTS ->
      restarts++;
      forget(0);
      forget(1)
    }
  od
}

proctype EngineSwap() {
end:
  engine_version = 1
}

init {
  atomic {
    byte i;
    for (i : 0 .. WRITES - 1) {
      run Writer(i)
    }
    for (i : 0 .. READERS - 1) {
      run Reader()
    }
    run Remover();
    run Restarts();
    run EngineSwap();
    i = 0
  }
}
