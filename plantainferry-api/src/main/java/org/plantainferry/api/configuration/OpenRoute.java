package org.plantainferry.api.configuration;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes a route that callers may use without a key, for reads only.
 *
 * @param name the last part of its path
 * @param service the service that it reads
 * @param workspace the workspace whose rate, burst and weight it counts against
 * @param statementPrefix the text with which each statement on this route must begin
 * @param maximumAgeMillis the age of data that it accepts; absent for no bound
 * @since 0.1
 */
public record OpenRoute(
        String name,
        ServiceName service,
        WorkspaceName workspace,
        String statementPrefix,
        Optional<Long> maximumAgeMillis) {
    /** Checks that nothing required is missing. */
    public OpenRoute {
        Preconditions.validName(name, "open route name");
        Preconditions.notNull(service, "service of open route " + name);
        Preconditions.notNull(workspace, "workspace of open route " + name);
        Preconditions.condition(
                statementPrefix != null && !statementPrefix.isBlank(),
                "statementPrefix of open route " + name + " must not be blank");
        maximumAgeMillis = maximumAgeMillis == null ? Optional.empty() : maximumAgeMillis;
        Preconditions.condition(
                maximumAgeMillis.isEmpty() || maximumAgeMillis.get() >= 0,
                "maximumAgeMillis of open route " + name + " must not be negative");
    }
}
