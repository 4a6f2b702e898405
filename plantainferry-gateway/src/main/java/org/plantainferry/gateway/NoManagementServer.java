package org.plantainferry.gateway;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Refuses to create a server of management beans.
 *
 * <p>The library of the operators' endpoint registers beans that nobody reads, and goes on without
 * them. The server with all beans of the Java platform would take longer to start than the endpoint
 * itself. It must be public, because the platform creates it by its name.
 *
 * @since 0.6
 */
public final class NoManagementServer extends MBeanServerBuilder {
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";
    private static final String EXECUTOR_PROPERTY = "jboss.threads.eqe.disable-mbean";

    /** Makes this the builder of all management servers, unless another one was chosen. */
    static void install() {
        if (System.getProperty(BUILDER_PROPERTY) != null) {
            return;
        }
        System.setProperty(BUILDER_PROPERTY, NoManagementServer.class.getName());
        System.setProperty(EXECUTOR_PROPERTY, Boolean.TRUE.toString());
    }

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("management beans are not used");
    }

    @Override
    public MBeanServer newMBeanServer(
            String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("management beans are not used");
    }
}
