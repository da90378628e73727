package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;

/** Listens for views that this process installs or gives up. */
interface ViewListener {
  /**
   * Called after the change, before the members of the new view are added to the failure detector.
   *
   * @param before the previously installed view, or null
   * @param view the installed view, or null
   */
  void onViewChanged(View before, View view, Timestamp now);
}
