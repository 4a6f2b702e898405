package org.plantainferry.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.LeadFence;
import org.plantainferry.gateway.peer.generated.LeadQuestion;
import org.plantainferry.gateway.peer.generated.MessageFragment;
import org.testng.annotations.Test;

/** Guards against messages that are put together wrongly from datagrams in any order. */
public final class FragmentAssemblerTest {
    private static final long SEED = 20261205;
    private static final int ROUNDS = 300;
    private static final int GROUPS_IN_TWO_YEARS = 1_300;
    private static final int LONG_NAME_LETTERS = 64;

    private final Random mRandom = new Random(SEED);
    private final MessageFragments mFragments = new MessageFragments(mRandom);

    private InstanceMessage randomMessage() {
        byte[] bytes = new byte[mRandom.nextInt(20_000)];
        mRandom.nextBytes(bytes);
        return InstanceMessage.newBuilder()
                .setInstance("instance-" + mRandom.nextInt(3))
                .setFragment(MessageFragment.newBuilder().setContent(ByteString.copyFrom(bytes)))
                .build();
    }

    private static Optional<InstanceMessage> receive(FragmentAssembler assembler, byte[] datagram)
            throws InvalidProtocolBufferException {
        assertTrue(datagram.length <= MessageFragments.MAX_DATAGRAM_BYTES);
        InstanceMessage message = InstanceMessage.parseFrom(datagram);
        return assembler.add(message.getInstance(), message.getFragment());
    }

    @Test
    public void restoresMessagesWhoseFragmentsAreReorderedRepeatedAndMixed() throws Exception {
        FragmentAssembler assembler = new FragmentAssembler();
        for (int round = 0; round < ROUNDS; round++) {
            List<InstanceMessage> sent = new ArrayList<>();
            List<byte[]> datagrams = new ArrayList<>();
            while (sent.size() < 4) {
                InstanceMessage message = randomMessage();
                List<byte[]> parts = mFragments.split(message);
                if (parts.size() > 1) {
                    sent.add(message);
                    datagrams.addAll(parts);
                    datagrams.add(parts.get(0));
                }
            }
            Collections.shuffle(datagrams, mRandom);
            List<InstanceMessage> received = new ArrayList<>();
            for (byte[] datagram : datagrams) {
                receive(assembler, datagram).ifPresent(received::add);
            }
            assertEquals(received.size(), sent.size(), "seed " + SEED + ", round " + round);
            assertTrue(received.containsAll(sent), "seed " + SEED + ", round " + round);
        }
    }

    @Test
    public void deliversNothingOfAMessageThatLostAFragment() throws Exception {
        FragmentAssembler assembler = new FragmentAssembler();
        List<byte[]> datagrams = mFragments.split(leadQuestion(100));
        for (byte[] datagram : datagrams.subList(1, datagrams.size())) {
            assertEquals(receive(assembler, datagram), Optional.empty());
        }
    }

    /** Guards against leases that are lost for good once many groups had a replacement. */
    @Test
    public void carriesTheReplacementsOfAllGroupsOfALargeFleet() throws Exception {
        FragmentAssembler assembler = new FragmentAssembler();
        InstanceMessage message = leadQuestion(GROUPS_IN_TWO_YEARS);
        Optional<InstanceMessage> received = Optional.empty();
        for (byte[] datagram : mFragments.split(message)) {
            received = receive(assembler, datagram);
        }
        assertEquals(received, Optional.of(message));
    }

    @Test
    public void dropsTheOldestIncompleteMessagesAboveATotalSize() throws Exception {
        FragmentAssembler assembler = new FragmentAssembler();
        List<byte[]> first = mFragments.split(leadQuestion(100));
        for (byte[] datagram : first.subList(1, first.size())) {
            receive(assembler, datagram);
        }
        int bytes = 0;
        while (bytes <= FragmentAssembler.MAX_PENDING_BYTES) {
            List<byte[]> other = mFragments.split(leadQuestion(1_000));
            for (byte[] datagram : other.subList(1, other.size())) {
                receive(assembler, datagram);
                bytes += datagram.length;
            }
        }
        assertEquals(receive(assembler, first.get(0)), Optional.empty());
    }

    @Test
    public void rejectsMalformedFragments() {
        for (int[] indexAndCount : new int[][] {{0, 0}, {1, 1}, {-1, 2}, {0, -1}, {0, 1 << 30}}) {
            MessageFragment fragment =
                    MessageFragment.newBuilder()
                            .setIndex(indexAndCount[0])
                            .setCount(indexAndCount[1])
                            .build();
            assertThrows(
                    InvalidProtocolBufferException.class,
                    () -> new FragmentAssembler().add("i-1", fragment));
        }
    }

    @Test
    public void splitsNoMessageAboveTheLimit() {
        byte[] bytes = new byte[MessageFragments.MAX_MESSAGE_BYTES];
        InstanceMessage message =
                InstanceMessage.newBuilder()
                        .setFragment(
                                MessageFragment.newBuilder().setContent(ByteString.copyFrom(bytes)))
                        .build();
        assertEquals(mFragments.split(message), List.of());
    }

    private static InstanceMessage leadQuestion(int groups) {
        LeadQuestion.Builder question = LeadQuestion.newBuilder().setNumber(7);
        for (int group = 0; group < groups; group++) {
            question.addFences(
                    LeadFence.newBuilder()
                            .setService("s".repeat(LONG_NAME_LETTERS) + group)
                            .setToken(group)
                            .setOrderedServer("i".repeat(LONG_NAME_LETTERS) + group));
        }
        return InstanceMessage.newBuilder().setInstance("i-1").setLeadQuestion(question).build();
    }
}
