/**
 * The audit log: what this controller knew and by what right it acted, in one form that is easy to
 * search and to parse.
 */
package org.sandford.audit;
