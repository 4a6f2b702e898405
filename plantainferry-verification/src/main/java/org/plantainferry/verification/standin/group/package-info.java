/**
 * Provides a stand-in of one database group: its servers, their logs and their replication.
 *
 * @since 0.1
 */
package org.plantainferry.verification.standin.group;
