package cobaltseam.emulator;

import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.EngineId;

/** The network between dispatchers and engines. */
interface EngineLink {
  /**
   * The work of a request at an engine. Dispatchers do not know it; they see the client's estimate.
   *
   * @param data the data set that the request reads, or null
   */
  record RequestWork(
      EmulatedSite.RequestClass requestClass, double workUs, double memoryMb, DataSetId data) {}

  /** The engine of an id. */
  EngineModel engine(EngineId id);

  /** Sends an attempt to its engine; its dispatcher later receives the outcome and progress. */
  void send(EmulatedDispatcher from, EmulatedDispatcher.Attempt attempt, RequestWork work);

  /** Cancels an attempt at its engine, if the site's dispatchers can cancel. */
  void abandon(EmulatedDispatcher from, EmulatedDispatcher.Attempt attempt);
}
