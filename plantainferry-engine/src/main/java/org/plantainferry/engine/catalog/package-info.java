/** Holds what an instance knows of servers, routes and workspaces. */
package org.plantainferry.engine.catalog;
