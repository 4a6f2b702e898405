/** Follows the objects of the store, directly or through another instance of the failure domain. */
package org.plantainferry.gateway.feed;
