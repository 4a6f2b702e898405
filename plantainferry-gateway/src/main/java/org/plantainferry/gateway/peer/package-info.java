/** Exchanges small datagrams with the gateways of other instances. */
package org.plantainferry.gateway.peer;
