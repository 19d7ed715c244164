package io.quetzalfield.peer.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * What entries and stewards say to one another. Every call carries a deadline.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "quetzalfield.peer.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsOffer,
      io.quetzalfield.peer.wire.ListsReply> getExchangeListsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ExchangeLists",
      requestType = io.quetzalfield.peer.wire.ListsOffer.class,
      responseType = io.quetzalfield.peer.wire.ListsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsOffer,
      io.quetzalfield.peer.wire.ListsReply> getExchangeListsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsOffer, io.quetzalfield.peer.wire.ListsReply> getExchangeListsMethod;
    if ((getExchangeListsMethod = PeerGrpc.getExchangeListsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeListsMethod = PeerGrpc.getExchangeListsMethod) == null) {
          PeerGrpc.getExchangeListsMethod = getExchangeListsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.ListsOffer, io.quetzalfield.peer.wire.ListsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ExchangeLists"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ListsOffer.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ListsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ExchangeLists"))
              .build();
        }
      }
    }
    return getExchangeListsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsPush,
      io.quetzalfield.peer.wire.ListsReply> getPushListsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PushLists",
      requestType = io.quetzalfield.peer.wire.ListsPush.class,
      responseType = io.quetzalfield.peer.wire.ListsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsPush,
      io.quetzalfield.peer.wire.ListsReply> getPushListsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ListsPush, io.quetzalfield.peer.wire.ListsReply> getPushListsMethod;
    if ((getPushListsMethod = PeerGrpc.getPushListsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getPushListsMethod = PeerGrpc.getPushListsMethod) == null) {
          PeerGrpc.getPushListsMethod = getPushListsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.ListsPush, io.quetzalfield.peer.wire.ListsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PushLists"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ListsPush.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ListsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("PushLists"))
              .build();
        }
      }
    }
    return getPushListsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.BillRecord,
      io.quetzalfield.peer.wire.WitnessReply> getWitnessBillMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "WitnessBill",
      requestType = io.quetzalfield.peer.wire.BillRecord.class,
      responseType = io.quetzalfield.peer.wire.WitnessReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.BillRecord,
      io.quetzalfield.peer.wire.WitnessReply> getWitnessBillMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.BillRecord, io.quetzalfield.peer.wire.WitnessReply> getWitnessBillMethod;
    if ((getWitnessBillMethod = PeerGrpc.getWitnessBillMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getWitnessBillMethod = PeerGrpc.getWitnessBillMethod) == null) {
          PeerGrpc.getWitnessBillMethod = getWitnessBillMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.BillRecord, io.quetzalfield.peer.wire.WitnessReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "WitnessBill"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.BillRecord.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.WitnessReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("WitnessBill"))
              .build();
        }
      }
    }
    return getWitnessBillMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForgetRequest,
      io.quetzalfield.peer.wire.ForgetReply> getForgetBillsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ForgetBills",
      requestType = io.quetzalfield.peer.wire.ForgetRequest.class,
      responseType = io.quetzalfield.peer.wire.ForgetReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForgetRequest,
      io.quetzalfield.peer.wire.ForgetReply> getForgetBillsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForgetRequest, io.quetzalfield.peer.wire.ForgetReply> getForgetBillsMethod;
    if ((getForgetBillsMethod = PeerGrpc.getForgetBillsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getForgetBillsMethod = PeerGrpc.getForgetBillsMethod) == null) {
          PeerGrpc.getForgetBillsMethod = getForgetBillsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.ForgetRequest, io.quetzalfield.peer.wire.ForgetReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ForgetBills"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ForgetRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ForgetReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ForgetBills"))
              .build();
        }
      }
    }
    return getForgetBillsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.CollectRequest,
      io.quetzalfield.peer.wire.CollectReply> getCollectBillsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CollectBills",
      requestType = io.quetzalfield.peer.wire.CollectRequest.class,
      responseType = io.quetzalfield.peer.wire.CollectReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.CollectRequest,
      io.quetzalfield.peer.wire.CollectReply> getCollectBillsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.CollectRequest, io.quetzalfield.peer.wire.CollectReply> getCollectBillsMethod;
    if ((getCollectBillsMethod = PeerGrpc.getCollectBillsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getCollectBillsMethod = PeerGrpc.getCollectBillsMethod) == null) {
          PeerGrpc.getCollectBillsMethod = getCollectBillsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.CollectRequest, io.quetzalfield.peer.wire.CollectReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CollectBills"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.CollectRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.CollectReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("CollectBills"))
              .build();
        }
      }
    }
    return getCollectBillsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.WitnessedRequest,
      io.quetzalfield.peer.wire.WitnessedReply> getListWitnessedMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListWitnessed",
      requestType = io.quetzalfield.peer.wire.WitnessedRequest.class,
      responseType = io.quetzalfield.peer.wire.WitnessedReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.WitnessedRequest,
      io.quetzalfield.peer.wire.WitnessedReply> getListWitnessedMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.WitnessedRequest, io.quetzalfield.peer.wire.WitnessedReply> getListWitnessedMethod;
    if ((getListWitnessedMethod = PeerGrpc.getListWitnessedMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getListWitnessedMethod = PeerGrpc.getListWitnessedMethod) == null) {
          PeerGrpc.getListWitnessedMethod = getListWitnessedMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.WitnessedRequest, io.quetzalfield.peer.wire.WitnessedReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListWitnessed"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.WitnessedRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.WitnessedReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ListWitnessed"))
              .build();
        }
      }
    }
    return getListWitnessedMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForwardRequest,
      io.quetzalfield.peer.wire.ForwardReply> getForwardMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forward",
      requestType = io.quetzalfield.peer.wire.ForwardRequest.class,
      responseType = io.quetzalfield.peer.wire.ForwardReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForwardRequest,
      io.quetzalfield.peer.wire.ForwardReply> getForwardMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ForwardRequest, io.quetzalfield.peer.wire.ForwardReply> getForwardMethod;
    if ((getForwardMethod = PeerGrpc.getForwardMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getForwardMethod = PeerGrpc.getForwardMethod) == null) {
          PeerGrpc.getForwardMethod = getForwardMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.ForwardRequest, io.quetzalfield.peer.wire.ForwardReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forward"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ForwardRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ForwardReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Forward"))
              .build();
        }
      }
    }
    return getForwardMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.FingerprintList,
      io.quetzalfield.peer.wire.FingerprintList> getExchangeFingerprintsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ExchangeFingerprints",
      requestType = io.quetzalfield.peer.wire.FingerprintList.class,
      responseType = io.quetzalfield.peer.wire.FingerprintList.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.FingerprintList,
      io.quetzalfield.peer.wire.FingerprintList> getExchangeFingerprintsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.FingerprintList, io.quetzalfield.peer.wire.FingerprintList> getExchangeFingerprintsMethod;
    if ((getExchangeFingerprintsMethod = PeerGrpc.getExchangeFingerprintsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeFingerprintsMethod = PeerGrpc.getExchangeFingerprintsMethod) == null) {
          PeerGrpc.getExchangeFingerprintsMethod = getExchangeFingerprintsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.FingerprintList, io.quetzalfield.peer.wire.FingerprintList>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ExchangeFingerprints"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.FingerprintList.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.FingerprintList.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ExchangeFingerprints"))
              .build();
        }
      }
    }
    return getExchangeFingerprintsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.DemandReport,
      io.quetzalfield.peer.wire.ShareReply> getReportDemandMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReportDemand",
      requestType = io.quetzalfield.peer.wire.DemandReport.class,
      responseType = io.quetzalfield.peer.wire.ShareReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.DemandReport,
      io.quetzalfield.peer.wire.ShareReply> getReportDemandMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.DemandReport, io.quetzalfield.peer.wire.ShareReply> getReportDemandMethod;
    if ((getReportDemandMethod = PeerGrpc.getReportDemandMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getReportDemandMethod = PeerGrpc.getReportDemandMethod) == null) {
          PeerGrpc.getReportDemandMethod = getReportDemandMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.DemandReport, io.quetzalfield.peer.wire.ShareReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReportDemand"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.DemandReport.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ShareReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ReportDemand"))
              .build();
        }
      }
    }
    return getReportDemandMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.VersionStop,
      io.quetzalfield.peer.wire.VersionStopReply> getStopVersionMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "StopVersion",
      requestType = io.quetzalfield.peer.wire.VersionStop.class,
      responseType = io.quetzalfield.peer.wire.VersionStopReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.VersionStop,
      io.quetzalfield.peer.wire.VersionStopReply> getStopVersionMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.VersionStop, io.quetzalfield.peer.wire.VersionStopReply> getStopVersionMethod;
    if ((getStopVersionMethod = PeerGrpc.getStopVersionMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getStopVersionMethod = PeerGrpc.getStopVersionMethod) == null) {
          PeerGrpc.getStopVersionMethod = getStopVersionMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.VersionStop, io.quetzalfield.peer.wire.VersionStopReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "StopVersion"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.VersionStop.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.VersionStopReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("StopVersion"))
              .build();
        }
      }
    }
    return getStopVersionMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ObservationsRequest,
      io.quetzalfield.peer.wire.ObservationsReply> getReadObservationsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReadObservations",
      requestType = io.quetzalfield.peer.wire.ObservationsRequest.class,
      responseType = io.quetzalfield.peer.wire.ObservationsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ObservationsRequest,
      io.quetzalfield.peer.wire.ObservationsReply> getReadObservationsMethod() {
    io.grpc.MethodDescriptor<io.quetzalfield.peer.wire.ObservationsRequest, io.quetzalfield.peer.wire.ObservationsReply> getReadObservationsMethod;
    if ((getReadObservationsMethod = PeerGrpc.getReadObservationsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getReadObservationsMethod = PeerGrpc.getReadObservationsMethod) == null) {
          PeerGrpc.getReadObservationsMethod = getReadObservationsMethod =
              io.grpc.MethodDescriptor.<io.quetzalfield.peer.wire.ObservationsRequest, io.quetzalfield.peer.wire.ObservationsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReadObservations"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ObservationsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.quetzalfield.peer.wire.ObservationsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ReadObservations"))
              .build();
        }
      }
    }
    return getReadObservationsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Offers the caller's lists revision; the reply carries newer lists, when the callee has them.
     * </pre>
     */
    default void exchangeLists(io.quetzalfield.peer.wire.ListsOffer request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeListsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Hands over lists that the callee may not have.
     * </pre>
     */
    default void pushLists(io.quetzalfield.peer.wire.ListsPush request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPushListsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Stores a bill at a witness before the answer's end is sent.
     * </pre>
     */
    default void witnessBill(io.quetzalfield.peer.wire.BillRecord request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWitnessBillMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells a witness that an incarnation's bills up to a sequence number are stored.
     * </pre>
     */
    default void forgetBills(io.quetzalfield.peer.wire.ForgetRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForgetReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForgetBillsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Seals an incarnation at the witness and returns its bills after a sequence number. Called again, it tells the
     * witness which bills are collected, so that every entry knows their keys.
     * </pre>
     */
    default void collectBills(io.quetzalfield.peer.wire.CollectRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.CollectReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCollectBillsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Names the incarnations whose bills the callee keeps as a witness.
     * </pre>
     */
    default void listWitnessed(io.quetzalfield.peer.wire.WitnessedRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessedReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListWitnessedMethod(), responseObserver);
    }

    /**
     * <pre>
     * Runs a request at the home of its key; the bytes of the answer stream back.
     * </pre>
     */
    default void forward(io.quetzalfield.peer.wire.ForwardRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForwardReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForwardMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges suspect and quarantined fingerprints.
     * </pre>
     */
    default void exchangeFingerprints(io.quetzalfield.peer.wire.FingerprintList request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.FingerprintList> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeFingerprintsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells a steward the recent demand by client account; the reply carries the shares.
     * </pre>
     */
    default void reportDemand(io.quetzalfield.peer.wire.DemandReport request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ShareReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReportDemandMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells entries that a version is stopped before the lists say so.
     * </pre>
     */
    default void stopVersion(io.quetzalfield.peer.wire.VersionStop request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.VersionStopReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStopVersionMethod(), responseObserver);
    }

    /**
     * <pre>
     * Sums of observations by model version, for roll-out tests.
     * </pre>
     */
    default void readObservations(io.quetzalfield.peer.wire.ObservationsRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ObservationsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadObservationsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Offers the caller's lists revision; the reply carries newer lists, when the callee has them.
     * </pre>
     */
    public void exchangeLists(io.quetzalfield.peer.wire.ListsOffer request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeListsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Hands over lists that the callee may not have.
     * </pre>
     */
    public void pushLists(io.quetzalfield.peer.wire.ListsPush request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPushListsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Stores a bill at a witness before the answer's end is sent.
     * </pre>
     */
    public void witnessBill(io.quetzalfield.peer.wire.BillRecord request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getWitnessBillMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells a witness that an incarnation's bills up to a sequence number are stored.
     * </pre>
     */
    public void forgetBills(io.quetzalfield.peer.wire.ForgetRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForgetReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getForgetBillsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Seals an incarnation at the witness and returns its bills after a sequence number. Called again, it tells the
     * witness which bills are collected, so that every entry knows their keys.
     * </pre>
     */
    public void collectBills(io.quetzalfield.peer.wire.CollectRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.CollectReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCollectBillsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Names the incarnations whose bills the callee keeps as a witness.
     * </pre>
     */
    public void listWitnessed(io.quetzalfield.peer.wire.WitnessedRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessedReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListWitnessedMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Runs a request at the home of its key; the bytes of the answer stream back.
     * </pre>
     */
    public void forward(io.quetzalfield.peer.wire.ForwardRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForwardReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges suspect and quarantined fingerprints.
     * </pre>
     */
    public void exchangeFingerprints(io.quetzalfield.peer.wire.FingerprintList request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.FingerprintList> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeFingerprintsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells a steward the recent demand by client account; the reply carries the shares.
     * </pre>
     */
    public void reportDemand(io.quetzalfield.peer.wire.DemandReport request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ShareReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReportDemandMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells entries that a version is stopped before the lists say so.
     * </pre>
     */
    public void stopVersion(io.quetzalfield.peer.wire.VersionStop request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.VersionStopReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStopVersionMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Sums of observations by model version, for roll-out tests.
     * </pre>
     */
    public void readObservations(io.quetzalfield.peer.wire.ObservationsRequest request,
        io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ObservationsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadObservationsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Offers the caller's lists revision; the reply carries newer lists, when the callee has them.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ListsReply exchangeLists(io.quetzalfield.peer.wire.ListsOffer request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeListsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hands over lists that the callee may not have.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ListsReply pushLists(io.quetzalfield.peer.wire.ListsPush request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPushListsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Stores a bill at a witness before the answer's end is sent.
     * </pre>
     */
    public io.quetzalfield.peer.wire.WitnessReply witnessBill(io.quetzalfield.peer.wire.BillRecord request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getWitnessBillMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells a witness that an incarnation's bills up to a sequence number are stored.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ForgetReply forgetBills(io.quetzalfield.peer.wire.ForgetRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getForgetBillsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Seals an incarnation at the witness and returns its bills after a sequence number. Called again, it tells the
     * witness which bills are collected, so that every entry knows their keys.
     * </pre>
     */
    public io.quetzalfield.peer.wire.CollectReply collectBills(io.quetzalfield.peer.wire.CollectRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCollectBillsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Names the incarnations whose bills the callee keeps as a witness.
     * </pre>
     */
    public io.quetzalfield.peer.wire.WitnessedReply listWitnessed(io.quetzalfield.peer.wire.WitnessedRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListWitnessedMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Runs a request at the home of its key; the bytes of the answer stream back.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, io.quetzalfield.peer.wire.ForwardReply>
        forward(io.quetzalfield.peer.wire.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges suspect and quarantined fingerprints.
     * </pre>
     */
    public io.quetzalfield.peer.wire.FingerprintList exchangeFingerprints(io.quetzalfield.peer.wire.FingerprintList request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeFingerprintsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells a steward the recent demand by client account; the reply carries the shares.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ShareReply reportDemand(io.quetzalfield.peer.wire.DemandReport request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReportDemandMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells entries that a version is stopped before the lists say so.
     * </pre>
     */
    public io.quetzalfield.peer.wire.VersionStopReply stopVersion(io.quetzalfield.peer.wire.VersionStop request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStopVersionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sums of observations by model version, for roll-out tests.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ObservationsReply readObservations(io.quetzalfield.peer.wire.ObservationsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReadObservationsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Offers the caller's lists revision; the reply carries newer lists, when the callee has them.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ListsReply exchangeLists(io.quetzalfield.peer.wire.ListsOffer request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeListsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hands over lists that the callee may not have.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ListsReply pushLists(io.quetzalfield.peer.wire.ListsPush request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPushListsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Stores a bill at a witness before the answer's end is sent.
     * </pre>
     */
    public io.quetzalfield.peer.wire.WitnessReply witnessBill(io.quetzalfield.peer.wire.BillRecord request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getWitnessBillMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells a witness that an incarnation's bills up to a sequence number are stored.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ForgetReply forgetBills(io.quetzalfield.peer.wire.ForgetRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForgetBillsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Seals an incarnation at the witness and returns its bills after a sequence number. Called again, it tells the
     * witness which bills are collected, so that every entry knows their keys.
     * </pre>
     */
    public io.quetzalfield.peer.wire.CollectReply collectBills(io.quetzalfield.peer.wire.CollectRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCollectBillsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Names the incarnations whose bills the callee keeps as a witness.
     * </pre>
     */
    public io.quetzalfield.peer.wire.WitnessedReply listWitnessed(io.quetzalfield.peer.wire.WitnessedRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListWitnessedMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Runs a request at the home of its key; the bytes of the answer stream back.
     * </pre>
     */
    public java.util.Iterator<io.quetzalfield.peer.wire.ForwardReply> forward(
        io.quetzalfield.peer.wire.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges suspect and quarantined fingerprints.
     * </pre>
     */
    public io.quetzalfield.peer.wire.FingerprintList exchangeFingerprints(io.quetzalfield.peer.wire.FingerprintList request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeFingerprintsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells a steward the recent demand by client account; the reply carries the shares.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ShareReply reportDemand(io.quetzalfield.peer.wire.DemandReport request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReportDemandMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells entries that a version is stopped before the lists say so.
     * </pre>
     */
    public io.quetzalfield.peer.wire.VersionStopReply stopVersion(io.quetzalfield.peer.wire.VersionStop request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStopVersionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sums of observations by model version, for roll-out tests.
     * </pre>
     */
    public io.quetzalfield.peer.wire.ObservationsReply readObservations(io.quetzalfield.peer.wire.ObservationsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadObservationsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * What entries and stewards say to one another. Every call carries a deadline.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Offers the caller's lists revision; the reply carries newer lists, when the callee has them.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.ListsReply> exchangeLists(
        io.quetzalfield.peer.wire.ListsOffer request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeListsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Hands over lists that the callee may not have.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.ListsReply> pushLists(
        io.quetzalfield.peer.wire.ListsPush request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPushListsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Stores a bill at a witness before the answer's end is sent.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.WitnessReply> witnessBill(
        io.quetzalfield.peer.wire.BillRecord request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getWitnessBillMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells a witness that an incarnation's bills up to a sequence number are stored.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.ForgetReply> forgetBills(
        io.quetzalfield.peer.wire.ForgetRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getForgetBillsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Seals an incarnation at the witness and returns its bills after a sequence number. Called again, it tells the
     * witness which bills are collected, so that every entry knows their keys.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.CollectReply> collectBills(
        io.quetzalfield.peer.wire.CollectRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCollectBillsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Names the incarnations whose bills the callee keeps as a witness.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.WitnessedReply> listWitnessed(
        io.quetzalfield.peer.wire.WitnessedRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListWitnessedMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Exchanges suspect and quarantined fingerprints.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.FingerprintList> exchangeFingerprints(
        io.quetzalfield.peer.wire.FingerprintList request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeFingerprintsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells a steward the recent demand by client account; the reply carries the shares.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.ShareReply> reportDemand(
        io.quetzalfield.peer.wire.DemandReport request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReportDemandMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells entries that a version is stopped before the lists say so.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.VersionStopReply> stopVersion(
        io.quetzalfield.peer.wire.VersionStop request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStopVersionMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Sums of observations by model version, for roll-out tests.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.quetzalfield.peer.wire.ObservationsReply> readObservations(
        io.quetzalfield.peer.wire.ObservationsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadObservationsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE_LISTS = 0;
  private static final int METHODID_PUSH_LISTS = 1;
  private static final int METHODID_WITNESS_BILL = 2;
  private static final int METHODID_FORGET_BILLS = 3;
  private static final int METHODID_COLLECT_BILLS = 4;
  private static final int METHODID_LIST_WITNESSED = 5;
  private static final int METHODID_FORWARD = 6;
  private static final int METHODID_EXCHANGE_FINGERPRINTS = 7;
  private static final int METHODID_REPORT_DEMAND = 8;
  private static final int METHODID_STOP_VERSION = 9;
  private static final int METHODID_READ_OBSERVATIONS = 10;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE_LISTS:
          serviceImpl.exchangeLists((io.quetzalfield.peer.wire.ListsOffer) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply>) responseObserver);
          break;
        case METHODID_PUSH_LISTS:
          serviceImpl.pushLists((io.quetzalfield.peer.wire.ListsPush) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ListsReply>) responseObserver);
          break;
        case METHODID_WITNESS_BILL:
          serviceImpl.witnessBill((io.quetzalfield.peer.wire.BillRecord) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessReply>) responseObserver);
          break;
        case METHODID_FORGET_BILLS:
          serviceImpl.forgetBills((io.quetzalfield.peer.wire.ForgetRequest) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForgetReply>) responseObserver);
          break;
        case METHODID_COLLECT_BILLS:
          serviceImpl.collectBills((io.quetzalfield.peer.wire.CollectRequest) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.CollectReply>) responseObserver);
          break;
        case METHODID_LIST_WITNESSED:
          serviceImpl.listWitnessed((io.quetzalfield.peer.wire.WitnessedRequest) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.WitnessedReply>) responseObserver);
          break;
        case METHODID_FORWARD:
          serviceImpl.forward((io.quetzalfield.peer.wire.ForwardRequest) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ForwardReply>) responseObserver);
          break;
        case METHODID_EXCHANGE_FINGERPRINTS:
          serviceImpl.exchangeFingerprints((io.quetzalfield.peer.wire.FingerprintList) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.FingerprintList>) responseObserver);
          break;
        case METHODID_REPORT_DEMAND:
          serviceImpl.reportDemand((io.quetzalfield.peer.wire.DemandReport) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ShareReply>) responseObserver);
          break;
        case METHODID_STOP_VERSION:
          serviceImpl.stopVersion((io.quetzalfield.peer.wire.VersionStop) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.VersionStopReply>) responseObserver);
          break;
        case METHODID_READ_OBSERVATIONS:
          serviceImpl.readObservations((io.quetzalfield.peer.wire.ObservationsRequest) request,
              (io.grpc.stub.StreamObserver<io.quetzalfield.peer.wire.ObservationsReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeListsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.ListsOffer,
              io.quetzalfield.peer.wire.ListsReply>(
                service, METHODID_EXCHANGE_LISTS)))
        .addMethod(
          getPushListsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.ListsPush,
              io.quetzalfield.peer.wire.ListsReply>(
                service, METHODID_PUSH_LISTS)))
        .addMethod(
          getWitnessBillMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.BillRecord,
              io.quetzalfield.peer.wire.WitnessReply>(
                service, METHODID_WITNESS_BILL)))
        .addMethod(
          getForgetBillsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.ForgetRequest,
              io.quetzalfield.peer.wire.ForgetReply>(
                service, METHODID_FORGET_BILLS)))
        .addMethod(
          getCollectBillsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.CollectRequest,
              io.quetzalfield.peer.wire.CollectReply>(
                service, METHODID_COLLECT_BILLS)))
        .addMethod(
          getListWitnessedMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.WitnessedRequest,
              io.quetzalfield.peer.wire.WitnessedReply>(
                service, METHODID_LIST_WITNESSED)))
        .addMethod(
          getForwardMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.ForwardRequest,
              io.quetzalfield.peer.wire.ForwardReply>(
                service, METHODID_FORWARD)))
        .addMethod(
          getExchangeFingerprintsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.FingerprintList,
              io.quetzalfield.peer.wire.FingerprintList>(
                service, METHODID_EXCHANGE_FINGERPRINTS)))
        .addMethod(
          getReportDemandMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.DemandReport,
              io.quetzalfield.peer.wire.ShareReply>(
                service, METHODID_REPORT_DEMAND)))
        .addMethod(
          getStopVersionMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.VersionStop,
              io.quetzalfield.peer.wire.VersionStopReply>(
                service, METHODID_STOP_VERSION)))
        .addMethod(
          getReadObservationsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.quetzalfield.peer.wire.ObservationsRequest,
              io.quetzalfield.peer.wire.ObservationsReply>(
                service, METHODID_READ_OBSERVATIONS)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return io.quetzalfield.peer.wire.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getExchangeListsMethod())
              .addMethod(getPushListsMethod())
              .addMethod(getWitnessBillMethod())
              .addMethod(getForgetBillsMethod())
              .addMethod(getCollectBillsMethod())
              .addMethod(getListWitnessedMethod())
              .addMethod(getForwardMethod())
              .addMethod(getExchangeFingerprintsMethod())
              .addMethod(getReportDemandMethod())
              .addMethod(getStopVersionMethod())
              .addMethod(getReadObservationsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
