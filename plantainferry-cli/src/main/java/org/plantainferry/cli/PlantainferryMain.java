package org.plantainferry.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.operator.HttpInstanceStatusReader;
import org.plantainferry.network.operator.InstanceStatus;
import org.plantainferry.network.operator.InstanceStatusReader;
import org.plantainferry.network.store.HttpPlatformStore;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreTimeouts;

/**
 * Starts the command line of operators.
 *
 * @since 0.1
 */
public final class PlantainferryMain {
    private static final String LOGBACK_FILE_PROPERTY = "logback.configurationFile";

    private PlantainferryMain() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        if (System.getProperty(LOGBACK_FILE_PROPERTY) == null) {
            System.setProperty(LOGBACK_FILE_PROPERTY, "plantainferry-cli-logback.xml");
        }
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpInstanceStatusReader reader = new HttpInstanceStatusReader(group);
        CommandContext.Environment environment =
                new CommandContext.Environment(
                        address -> openStore(group, address),
                        address -> readStatus(reader, address),
                        TimeSource.SYSTEM);
        return new CommandLine(new SecureRandom())
                .run(arguments, environment, System.out, System.err);
    }

    private static PlatformStore openStore(EventLoopGroup group, String address) {
        return new HttpPlatformStore(
                group, resolveHost(address), Optional.empty(), StoreTimeouts.DEFAULT);
    }

    private static CompletableFuture<InstanceStatus> readStatus(
            InstanceStatusReader reader, String address) {
        try {
            return reader.read(resolveHost(address));
        } catch (PlantainferryException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Returns IP:PORT for HOST:PORT; only operators' machines may have a name service. */
    private static String resolveHost(String address) {
        int colon = address.lastIndexOf(':');
        Preconditions.condition(
                colon > 0 && address.substring(colon + 1).matches("[0-9]{1,5}"),
                "an address must be HOST:PORT: \"" + address + "\"");
        try {
            String host = InetAddress.getByName(address.substring(0, colon)).getHostAddress();
            boolean sixth = host.indexOf(':') >= 0;
            return (sixth ? "[" + host + "]" : host) + address.substring(colon);
        } catch (UnknownHostException e) {
            throw new PlantainferryException(
                    ErrorCode.ARGUMENT_INVALID, "unknown host in \"" + address + "\"", e);
        }
    }
}
