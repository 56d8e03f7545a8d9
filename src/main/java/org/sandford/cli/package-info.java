/**
 * The program: the command line, a controller on the real network and clocks, and the warm-up run
 * that the build records for the class-data archive. Only this package exits the process.
 */
package org.sandford.cli;
