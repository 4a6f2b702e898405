/** Holds an instance's knowledge of servers, routes and workspaces. */
package org.plantainferry.engine.catalog;
