package org.plantainferry.api.configuration;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes a route on which callers can read without a key.
 *
 * @param name the last segment of its path
 * @param service the service from which it reads
 * @param workspace the workspace whose rate, burst and weight apply to it
 * @param statementPrefix the text with which each statement on this route must start
 * @param maximumAgeMillis the maximum age of data that it accepts; absent for no limit
 * @since 0.1
 */
public record OpenRoute(
        String name,
        ServiceName service,
        WorkspaceName workspace,
        String statementPrefix,
        Optional<Long> maximumAgeMillis) {
    /** Checks that nothing required is missing and that the age is not negative. */
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
