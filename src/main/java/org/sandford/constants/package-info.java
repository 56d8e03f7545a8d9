/**
 * The constants of the service, grouped by component, each with its unit. Values that depend on the
 * deployment (periods, limits, teams) come from the settings instead. docs/capacity.md tells how
 * each value was found.
 */
package org.sandford.constants;
