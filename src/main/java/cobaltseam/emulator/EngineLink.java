package cobaltseam.emulator;

import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.EngineId;

/** The way between dispatchers and engines. */
interface EngineLink {
  /** What an engine is asked to do for a command: the true work, which no dispatcher knows. */
  record Order(EmulatedSite.RequestClass profile, double workUs, double memoryMb, DataSetId data) {}

  EngineModel engine(EngineId id);

  /** A send leaves; what comes of it is told to its dispatcher. */
  void send(EmulatedDispatcher from, EmulatedDispatcher.Attempt out, Order order);

  /** A dispatcher waits for a send no longer, and tells its engine. */
  void giveUp(EmulatedDispatcher from, EmulatedDispatcher.Attempt out);
}
