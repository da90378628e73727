package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;

/** Is notified when this process installs another view or gives up the one it holds. */
interface ViewListener {
  /**
   * Called after the change, before the members of the new view are added to the failure detector.
   *
   * @param before the former view, or null
   * @param view the view held now, or null
   */
  void onViewChanged(View before, View view, Timestamp now);
}
