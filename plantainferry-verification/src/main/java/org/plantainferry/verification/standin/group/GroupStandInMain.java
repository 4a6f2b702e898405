package org.plantainferry.verification.standin.group;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.json.Json;
import org.plantainferry.verification.standin.StandInLogging;

/**
 * Runs the stand-in of a database group as a process of its own.
 *
 * @since 0.1
 */
public final class GroupStandInMain {
    private GroupStandInMain() {}

    /** Starts the group with the settings file that is the only argument. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1) {
            System.err.println("usage: GroupStandInMain SETTINGS.json");
            System.exit(2);
        }
        StandInLogging.logWarningsOnly();
        GroupSettings settings =
                Json.readWithComments(
                        Files.readString(Path.of(arguments[0])),
                        GroupSettings.class,
                        ErrorCode.CONFIGURATION_INVALID);
        GroupStandIn group = new GroupStandIn(settings);
        System.out.println(
                "group " + settings.group() + " with control at " + group.controlAddress());
    }
}
